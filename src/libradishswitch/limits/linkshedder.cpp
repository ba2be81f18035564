#include "limits/linkshedder.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

/// A third of a pool's endpoints may be dark: so many late connections in a row are not chance.
constexpr int kMinConsecutiveLate = 8;

/// A queue that makes connections late is worked off within this, and nothing is measured while all are refused.
constexpr Duration kMeasurementLifetime = std::chrono::milliseconds(100);

/// Zones are named by entries that others write.
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
