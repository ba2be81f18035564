#pragma once

#include "base/timerservice.h"

#include <optional>

namespace RadishSwitch
{

struct LoadShedderSettings {
    /// How late the process may run and still take every request. The tightest targets of callers are 120 to 150 ms,
    /// of which their answer takes 30.
    Duration target = std::chrono::milliseconds(60);
    /// Later than that at each measurement for so long, it takes no more. A single late one is a process that stood
    /// still, a quota that was used up or a large configuration that was read, and ends by itself.
    Duration overloadAfter = std::chrono::milliseconds(120);
    /// Requests are taken again once the process is late by no more than this part of the target.
    double recoveryShare = 0.5;
    /// A measurement says nothing after so long.
    Duration measurementLifetime = std::chrono::milliseconds(500);
    /// After so long without a refusal overload counts as over; until then one late measurement is enough.
    Duration overloadGap = std::chrono::seconds(1);
    /// Overload that lasts so long won't pass by itself: new callers should be sent elsewhere.
    Duration divertAfter = std::chrono::milliseconds(500);
    /// For so long after the last refusal. A balancer takes two seconds to notice, and as long to come back; shorter,
    /// the instance would be back in use before it was out of it.
    Duration divertFor = std::chrono::seconds(3);

    bool operator==(const LoadShedderSettings &) const = default;
};

/// Decides when a process that has more requests than processor time turns new ones away.
///
/// Load pattern: the balancer picks an instance by a hash of the caller, so that one caller with many requests meets
/// one small instance: 3,600 calls where its neighbours had 200 to 570. Left in line, all of them are late; callers
/// leave after a second unread, and the work on their calls is wasted. One that is refused at once is served by another
/// instance in time, since callers go there with their next try.
///
/// The measure is how late the process runs its own tasks, which counts its processor, whatever share of a core it has,
/// and nothing else.
class LoadShedder
{
public:
    explicit LoadShedder(LoadShedderSettings settings = {});

    /// The process ran a task so much later than it was due.
    void noteDelay(Duration delay, Instant now);

    /// A task that was due so long ago has not run yet. Without it a line that grows fourfold each time it is worked
    /// off would be measured again only at its end.
    void noteOverdue(Duration waited, Instant now);

    /// Whether new requests are to be refused.
    bool isShedding(Instant now) const;

    /// A request was refused.
    void noteRefused(Instant now);

    /// Whether new callers should be sent to other instances.
    bool isDiverting(Instant now) const;

private:
    bool isOverloadOngoing(Instant now) const;

    const LoadShedderSettings m_settings;
    /// Since when each measurement was above the target.
    std::optional<Instant> m_lateSince;
    Instant m_measuredAt = Instant::min();
    bool m_isShedding = false;
    /// First and last refusal of the overload at hand.
    Instant m_overloadBegan = Instant::min();
    std::optional<Instant> m_lastRefusal;
    bool m_isDiverting = false;
};

}
