#include "limits/linkshedder.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

/// A third of a pool's endpoints may be unreachable at a time, so fewer late connections in a row may be chance.
constexpr int kMinConsecutiveLate = 8;

/// How long a measurement stays valid. The queue of a full link is worked off within this time, and nothing new is
/// measured while all requests are refused.
constexpr Duration kMeasurementLifetime = std::chrono::milliseconds(100);

/// Bound on the memory used, since the zones' names come from other processes.
constexpr std::size_t kMaxZones = 1000;

LoadShedderSettings linkSettings(LoadShedderSettings settings)
{
    settings.measurementLifetime = kMeasurementLifetime;
    return settings;
}

}

LinkShedder::LinkShedder(LoadShedderSettings settings)
    : m_target(settings.target)
    , m_shedder(linkSettings(settings))
{
}

void LinkShedder::noteConnected(const std::string &zone, Duration taken, Instant now)
{
    if (m_shortestTimes.size() >= kMaxZones) {
        m_shortestTimes.clear();
    }
    Duration &shortest = m_shortestTimes.try_emplace(zone, taken).first->second;
    shortest = std::min(shortest, taken);
    const Duration delay = taken - shortest;
    m_consecutiveLate = delay < m_target ? 0 : m_consecutiveLate + 1;
    if (m_consecutiveLate == 0 || m_consecutiveLate >= kMinConsecutiveLate) {
        m_shedder.noteDelay(delay, now);
    }
}

}
