#include "limits/loadshedder.h"

namespace RadishSwitch
{

LoadShedder::LoadShedder(LoadShedderSettings settings)
    : m_settings(settings)
{
}

void LoadShedder::noteDelay(Duration delay, Instant now)
{
    m_measuredAt = now;
    if (delay < m_settings.target) {
        m_lateSince.reset();
        const auto recovered = std::chrono::duration_cast<Duration>(m_settings.target * m_settings.recoveryShare);
        m_isShedding = m_isShedding && delay > recovered;
        return;
    }
    if (!m_lateSince) {
        m_lateSince = now;
    }
    m_isShedding = m_isShedding || isOverloadOngoing(now) || now - *m_lateSince >= m_settings.overloadAfter;
}

void LoadShedder::noteOverdue(Duration waited, Instant now)
{
    if (waited >= m_settings.target) {
        noteDelay(waited, now);
    }
}

bool LoadShedder::isShedding(Instant now) const
{
    return m_isShedding && now - m_measuredAt < m_settings.measurementLifetime;
}

void LoadShedder::noteRefused(Instant now)
{
    if (!isOverloadOngoing(now)) {
        m_overloadBegan = now;
        m_isDiverting = false;
    }
    m_lastRefusal = now;
    m_isDiverting = m_isDiverting || now - m_overloadBegan >= m_settings.divertAfter;
}

bool LoadShedder::isDiverting(Instant now) const
{
    return m_isDiverting && now - *m_lastRefusal < m_settings.divertFor;
}

bool LoadShedder::isOverloadOngoing(Instant now) const
{
    return m_lastRefusal && now - *m_lastRefusal < m_settings.overloadGap;
}

}
