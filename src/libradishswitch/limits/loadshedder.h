#pragma once

#include "base/timerservice.h"

#include <optional>

namespace RadishSwitch
{

struct LoadShedderSettings {
    /// How late the process may run its tasks and still accept every request. The tightest latency targets of callers
    /// are 120 to 150 ms, of which their answer takes 30 ms.
    Duration target = std::chrono::milliseconds(60);
    /// New requests are refused once every measurement during this time was above the target. A single late measurement
    /// comes from a process that was stopped, an exhausted CPU quota or a large configuration being read, and passes by
    /// itself.
    Duration overloadAfter = std::chrono::milliseconds(120);
    /// New requests are accepted again once the delay is at most this share of the target.
    double recoveryShare = 0.5;
    /// How long a measurement stays valid.
    Duration measurementLifetime = std::chrono::milliseconds(500);
    /// An overload counts as over this long after its last refusal. Until then a single late measurement is enough to
    /// refuse requests again.
    Duration overloadGap = std::chrono::seconds(1);
    /// An overload that lasts this long won't pass by itself: new callers should be sent to other instances.
    Duration divertAfter = std::chrono::milliseconds(500);
    /// How long after the last refusal new callers are sent to other instances. A load balancer takes two seconds to
    /// take an instance out of use and two to bring it back; with a shorter time, it would bring the instance back
    /// while still taking it out.
    Duration divertFor = std::chrono::seconds(3);

    bool operator==(const LoadShedderSettings &) const = default;
};

/// Decides when a process with more requests than processor time refuses new ones.
///
/// Load pattern: the load balancer picks an instance by a hash of the caller, so that a caller with many requests may
/// meet a small instance: it got 3,600 calls when its neighbours got 200 to 570. If all of them were queued, all would
/// be late. Callers disconnect after a second, and the work on their calls is wasted. A caller that is refused at once
/// retries on another instance and is served there in time.
///
/// The measure is how late the process runs its own tasks. It depends only on the processor time that the process gets,
/// whatever share of a core that is.
class LoadShedder
{
public:
    explicit LoadShedder(LoadShedderSettings settings = {});

    /// The process ran a task `delay` later than it was due.
    void noteDelay(Duration delay, Instant now);

    /// A task that was due `waited` ago has not run yet. Without this the delay of a growing queue would be measured
    /// only after the queue was worked off, when it may have grown fourfold.
    void noteOverdue(Duration waited, Instant now);

    /// Whether new requests are to be refused.
    bool isShedding(Instant now) const;

    void noteRefused(Instant now);

    /// Whether new callers should be sent to other instances.
    bool isDiverting(Instant now) const;

private:
    bool isOverloadOngoing(Instant now) const;

    const LoadShedderSettings m_settings;
    /// When the first of the measurements above the target in a row was made.
    std::optional<Instant> m_lateSince;
    Instant m_measuredAt = Instant::min();
    bool m_isShedding = false;
    /// First and last refusal of the current overload.
    Instant m_overloadBegan = Instant::min();
    std::optional<Instant> m_lastRefusal;
    bool m_isDiverting = false;
};

}
