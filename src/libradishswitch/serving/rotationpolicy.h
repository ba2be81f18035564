#pragma once

#include "base/randomsource.h"
#include "serving/zonerotation.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// Why a gateway left the rotation.
enum class RotationReason {
    /// It was nearly full and had not refused anything yet.
    Fullness,
    /// It refused requests for lack of processor time.
    Processor,
    /// It refused requests because its link was full.
    Link,
};

std::string_view rotationReasonName(RotationReason reason);

struct RotationSettings {
    std::string gateway;
    /// Bandwidth of the gateway's link in Mbit/s; zero if unknown.
    double linkMbps = 0;
    ZoneRotationSettings zone;
    /// How long the gateway has to be full before it leaves. Link use is an average over a second, so that a shorter
    /// time would count one burst as a lasting load.
    Duration fullFor = std::chrono::seconds(1);
    /// A longer time between two measurements of fullness ends a period of being full: the process was stopped.
    Duration maximumMeasurementGap = std::chrono::milliseconds(500);
    /// How long the gateway has to refuse requests before it leaves.
    Duration refusingFor = std::chrono::milliseconds(500);
    /// A period of refusals ends this long after its last one.
    Duration refusalGap = std::chrono::seconds(1);
    /// How long the gateway stays away at first. A load balancer takes two seconds to take an instance out of use.
    Duration firstAway = std::chrono::seconds(3);
    Duration maximumAway = std::chrono::seconds(24);
    /// Greatest random addition to the time away, as a share of it, so that gateways do not return together.
    double awayJitter = 0.2;
    /// A gateway that is full again within this time after its return meets the same callers as before.
    Duration soonAfterReturn = std::chrono::seconds(10);
    /// After this time in rotation without being full, the time away is the first one again.
    Duration resetAfter = std::chrono::seconds(30);
    /// The gateway leaves by fullness only if it is in rotation for at least this share of the window. Required is
    /// 0.875; the rest is for the time until an update notices that the time away is over.
    Duration dutyWindow = std::chrono::minutes(1);
    double readyShare = 0.88;
    /// Share of the kept connections to close in each second away. Closed all at once, they would overload neighbours.
    double closingShare = 1.0 / 3;
    /// Until the load balancer has taken the gateway out of use, a caller whose connection is closed comes back to it.
    Duration closingAfter = std::chrono::seconds(2);

    bool operator==(const RotationSettings &) const = default;
};

/// Decides when a gateway that is full asks the load balancer for no new callers, and for how long.
///
/// Load pattern: the load balancer picks a gateway by a hash of the caller, regardless of the gateway's size. A caller
/// with 2.7 times its usual load fills a small gateway, which leaves the rotation, returns after three seconds, gets
/// the same caller, and is full again: it refused 1,593 calls in a day, other gateways none. The time away therefore
/// doubles as long as the gateway is full again soon after its return, and it leaves before it refuses anything.
///
/// Without reports of its neighbours the gateway leaves only because of refusals, until three seconds after the last.
class RotationPolicy
{
public:
    RotationPolicy(RandomSource &random, RotationSettings settings);

    /// Expected several times a second; only values from a time without gaps show that the gateway is full.
    void noteFullness(double fullness, Instant now);

    /// A request was refused for lack of processor time or link capacity.
    void noteRefused(RotationReason reason, Instant now);

    /// Leaves or returns, if it is time. `reports` are the recent reports of the zone's gateways; empty if unknown.
    void update(const std::vector<GatewayLoadReport> &reports, Instant now);

    /// Whether the load balancer should send new callers to other gateways.
    bool isAway(Instant now) const
    {
        return m_isAway && now < m_awayUntil;
    }

    /// Whether the reports of the neighbours matter to the next update.
    bool needsReports(Instant now) const
    {
        return m_isAway || isFull(now);
    }

    /// Of the last time away: its reason, when it began, when it ends or ended, and how many neighbours were known.
    RotationReason reason() const
    {
        return m_reason;
    }

    Instant awaySince() const
    {
        return m_awaySince;
    }

    Instant awayUntil() const
    {
        return m_awayUntil;
    }

    int knownNeighbours() const
    {
        return m_knownNeighbours;
    }

    /// Share of the kept connections to close now, for each second.
    double closingShare(Instant now) const;

    /// The fullness to report. A gateway that refuses requests is full, whatever the measurement says.
    double fullness(Instant now) const;

private:
    struct Period {
        Instant begin;
        Instant end;
    };

    bool isRefusing(Instant now) const;
    bool isOverFullness(Instant now) const;
    bool isFull(Instant now) const
    {
        return isRefusing(now) || isOverFullness(now);
    }

    void updateInRotation(const ZoneRotation &zone, Instant now);
    void updateAway(const ZoneRotation &zone, Instant now);
    void noteFull(Instant now);
    void leave(const ZoneRotation &zone, Instant now);
    void beginAway(RotationReason reason, Duration away, Instant now);
    void endAway(Instant now);
    /// The next time away by the backoff, without the random addition.
    Duration nextBackoff() const;
    /// How long the gateway may be away without going below its share of the window.
    Duration spareTime(Instant now) const;

    RandomSource &m_random;
    const RotationSettings m_settings;

    double m_fullness = 0;
    std::optional<Instant> m_measuredAt;
    std::optional<Instant> m_overSince;
    /// First and last refusal of the current period of refusals.
    Instant m_refusingSince{};
    std::optional<Instant> m_lastRefusal;
    RotationReason m_refusalReason = RotationReason::Processor;

    bool m_isAway = false;
    RotationReason m_reason = RotationReason::Processor;
    Instant m_awaySince{};
    Instant m_awayUntil{};
    /// The time away runs from leaving and from each refusal while away.
    Duration m_away{};
    int m_knownNeighbours = 0;
    bool m_canNeighboursTake = false;

    Duration m_backoff;
    std::optional<Instant> m_returnedAt;
    /// The return, or when the gateway was last full in rotation.
    std::optional<Instant> m_lastFull;
    bool m_wasFullSinceReturn = false;
    bool m_wasFullSoon = false;
    /// Times away that reach into the duty window.
    std::deque<Period> m_pastAway;
};

}
