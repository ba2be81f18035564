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
        const auto calm = std::chrono::duration_cast<Duration>(m_settings.target * m_settings.calmShare);
        m_isShedding = m_isShedding && delay > calm;
        return;
    }
    if (!m_lateSince) {
        m_lateSince = now;
    }
    m_isShedding = m_isShedding || isInEpisode(now) || now - *m_lateSince >= m_settings.patience;
}

void LoadShedder::noteWaiting(Duration waited, Instant now)
{
    if (waited >= m_settings.target) {
        noteDelay(waited, now);
    }
}

bool LoadShedder::isShedding(Instant now) const
{
    return m_isShedding && now - m_measuredAt < m_settings.memory;
}

void LoadShedder::noteRefused(Instant now)
{
    if (!isInEpisode(now)) {
        m_episodeBegan = now;
        m_isAway = false;
    }
    m_lastRefusal = now;
    m_isAway = m_isAway || now - m_episodeBegan >= m_settings.awayAfter;
}

bool LoadShedder::isAway(Instant now) const
{
    return m_isAway && now - *m_lastRefusal < m_settings.awayFor;
}

bool LoadShedder::isInEpisode(Instant now) const
{
    return m_lastRefusal && now - *m_lastRefusal < m_settings.episodeGap;
}

}
