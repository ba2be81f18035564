#include "serving/rotationpolicy.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// A gateway that refuses nothing is never told to others as overloaded, so that it doesn't take the place of one that
/// refuses and has to leave the rotation.
constexpr double kHighestWithoutRefusals = 0.99;

Duration times(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

}

std::string_view rotationReasonName(RotationReason reason)
{
    switch (reason) {
    case RotationReason::Fullness:
        return "fullness";
    case RotationReason::Processor:
        return "processor";
    case RotationReason::Link:
        return "link";
    }
    return "";
}

RotationPolicy::RotationPolicy(RandomSource &random, RotationSettings settings)
    : m_random(random)
    , m_settings(std::move(settings))
    , m_backoff(m_settings.firstAway)
{
}

void RotationPolicy::noteFullness(double fullness, Instant now)
{
    const bool isGap = m_measuredAt && now - *m_measuredAt > m_settings.maximumMeasurementGap;
    m_fullness = fullness;
    m_measuredAt = now;
    if (!(fullness > m_settings.zone.fullAbove)) {
        m_overSince.reset();
    } else if (!m_overSince || isGap) {
        m_overSince = now;
    }
}

void RotationPolicy::noteRefused(RotationReason reason, Instant now)
{
    if (!m_lastRefusal || now - *m_lastRefusal >= m_settings.refusalGap) {
        m_refusingSince = now;
    }
    m_lastRefusal = now;
    m_refusalReason = reason;
    if (isAway(now)) {
        m_awayUntil = std::max(m_awayUntil, now + m_settings.firstAway);
    }
}

void RotationPolicy::update(const std::vector<GatewayLoadReport> &reports, Instant now)
{
    GatewayLoadReport own;
    own.gateway = m_settings.gateway;
    own.fullness = fullness(now);
    own.linkMbps = m_settings.linkMbps;
    own.isDiverting = m_isAway;
    const ZoneRotation zone(m_settings.zone, own, reports);
    m_knownNeighbours = zone.knownNeighbours();
    m_canNeighboursTake = zone.knownNeighbours() > 0 && !zone.areNeighboursBusy();
    if (m_isAway) {
        updateAway(zone, now);
    } else {
        updateInRotation(zone, now);
    }
}

void RotationPolicy::updateInRotation(const ZoneRotation &zone, Instant now)
{
    if (isFull(now)) {
        noteFull(now);
        leave(zone, now);
    } else if (m_lastFull && now - *m_lastFull >= m_settings.resetAfter) {
        m_backoff = m_settings.firstAway;
        m_wasFullSoon = false;
    }
}

void RotationPolicy::updateAway(const ZoneRotation &zone, Instant now)
{
    if (zone.knownNeighbours() == 0) {
        // It is no longer known how many others are away, so that the gateway returns as early as it may.
        const Instant lastNeed = std::max(m_awaySince, m_lastRefusal.value_or(m_awaySince));
        m_awayUntil = std::min(m_awayUntil, lastNeed + m_settings.firstAway);
    } else if (!zone.mayStayAway()) {
        m_awayUntil = std::min(m_awayUntil, now);
    }
    if (now >= m_awayUntil) {
        endAway(now);
    }
}

void RotationPolicy::noteFull(Instant now)
{
    if (m_returnedAt && !m_wasFullSinceReturn) {
        m_wasFullSinceReturn = true;
        m_wasFullSoon = now - *m_returnedAt <= m_settings.soonAfterReturn;
    }
    m_lastFull = now;
}

void RotationPolicy::leave(const ZoneRotation &zone, Instant now)
{
    const bool hasRefused = isRefusing(now);
    if (zone.knownNeighbours() == 0) {
        if (hasRefused) {
            beginAway(m_refusalReason, m_settings.firstAway, now);
        }
        return;
    }
    const Duration spare = hasRefused ? Duration::max() : spareTime(now);
    if (!zone.mayLeave() || spare < m_settings.firstAway) {
        return;
    }
    m_backoff = nextBackoff();
    const Duration away = times(m_backoff, 1 + m_settings.awayJitter * m_random.fraction());
    beginAway(hasRefused ? m_refusalReason : RotationReason::Fullness, std::min(away, spare), now);
}

Duration RotationPolicy::nextBackoff() const
{
    return m_wasFullSoon ? std::min(m_backoff * 2, m_settings.maximumAway) : m_backoff;
}

void RotationPolicy::beginAway(RotationReason reason, Duration away, Instant now)
{
    m_isAway = true;
    m_reason = reason;
    m_away = away;
    m_awaySince = now;
    m_awayUntil = now + away;
}

void RotationPolicy::endAway(Instant now)
{
    m_isAway = false;
    while (!m_pastAway.empty() && m_pastAway.front().end <= now - m_settings.dutyWindow) {
        m_pastAway.pop_front();
    }
    m_pastAway.push_back({m_awaySince, now});
    m_returnedAt = now;
    m_lastFull = now;
    m_wasFullSinceReturn = false;
    m_wasFullSoon = false;
    // What the gateway met while it was away says nothing about the callers that return with it.
    m_overSince.reset();
    m_lastRefusal.reset();
}

Duration RotationPolicy::spareTime(Instant now) const
{
    const Instant begin = now - m_settings.dutyWindow;
    Duration spare = times(m_settings.dutyWindow, 1 - m_settings.readyShare);
    for (const Period &it : m_pastAway) {
        spare -= std::max(it.end - std::max(it.begin, begin), Duration::zero());
    }
    return spare;
}

bool RotationPolicy::isRefusing(Instant now) const
{
    return m_lastRefusal && now - *m_lastRefusal < m_settings.refusalGap
        && *m_lastRefusal - m_refusingSince >= m_settings.refusingFor;
}

bool RotationPolicy::isOverFullness(Instant now) const
{
    return m_overSince && now - *m_measuredAt <= m_settings.maximumMeasurementGap
        && *m_measuredAt - *m_overSince >= m_settings.fullFor;
}

double RotationPolicy::closingShare(Instant now) const
{
    const bool isOutOfUse = isAway(now) && now - m_awaySince >= m_settings.closingAfter;
    return isOutOfUse && m_canNeighboursTake ? m_settings.closingShare : 0;
}

double RotationPolicy::fullness(Instant now) const
{
    const bool hasRefused = m_lastRefusal && now - *m_lastRefusal < m_settings.refusalGap;
    return hasRefused ? std::max(m_fullness, 1.0) : std::min(m_fullness, kHighestWithoutRefusals);
}

}
