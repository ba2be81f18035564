#include "serving/prefillspeed.h"

#include <cmath>

namespace RadishSwitch
{

namespace
{

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

}

PrefillSpeed::PrefillSpeed(const PrefillSpeedSettings &settings)
    : m_settings(settings)
{
}

void PrefillSpeed::note(std::int64_t tokens, Duration taken, Instant now)
{
    if (tokens < m_settings.minimumTokens || taken <= Duration::zero()) {
        return;
    }
    const double kept = std::exp2(-secondsOf(now - m_notedAt) / secondsOf(m_settings.halfLife));
    m_tokens = m_tokens * kept + static_cast<double>(tokens);
    m_seconds = m_seconds * kept + secondsOf(taken);
    m_notedAt = now;
}

double PrefillSpeed::tokensPerSecond() const
{
    const double assumedSeconds = m_settings.assumptionWeightTokens / m_settings.assumed;
    return (m_tokens + m_settings.assumptionWeightTokens) / (m_seconds + assumedSeconds);
}

}
