#include "limits/linkshedder.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

/// A third of a pool's endpoints may be dark: so many late connections in a row are not chance.
constexpr int kLeastInARow = 8;

/// A queue that makes connections late is worked off within this, and nothing is measured while all are refused.
constexpr Duration kMemory = std::chrono::milliseconds(100);

/// Zones are named by entries that others write.
constexpr std::size_t kMostZones = 1000;

LoadShedderSettings settingsOfLink(LoadShedderSettings settings)
{
    settings.memory = kMemory;
    return settings;
}

}

LinkShedder::LinkShedder(LoadShedderSettings settings)
    : m_target(settings.target)
    , m_shedder(settingsOfLink(settings))
{
}

void LinkShedder::noteConnected(const std::string &zone, Duration taken, Instant now)
{
    if (m_quickest.size() >= kMostZones) {
        m_quickest.clear();
    }
    Duration &quickest = m_quickest.try_emplace(zone, taken).first->second;
    quickest = std::min(quickest, taken);
    const Duration delay = taken - quickest;
    m_lateInARow = delay < m_target ? 0 : m_lateInARow + 1;
    if (m_lateInARow == 0 || m_lateInARow >= kLeastInARow) {
        m_shedder.noteDelay(delay, now);
    }
}

}
