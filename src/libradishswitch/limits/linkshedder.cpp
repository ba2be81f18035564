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

void LinkShedder::noteConnected(Duration taken, Instant now)
{
    m_quickest = std::min(m_quickest, taken);
    const Duration delay = taken - m_quickest;
    m_lateInARow = delay < m_target ? 0 : m_lateInARow + 1;
    if (m_lateInARow == 0 || m_lateInARow >= kLeastInARow) {
        m_shedder.noteDelay(delay, now);
    }
}

}
