#include "limits/answerpressure.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

AnswerPressure::AnswerPressure(AnswerPressureSettings settings)
    : m_settings(settings)
{
}

void AnswerPressure::noteAnswer(bool isLate, Instant now)
{
    const double change = isLate ? m_settings.step : -m_settings.relief;
    m_level = std::clamp(level(now) + change, 0.0, m_settings.most + m_settings.ignored);
    m_notedAt = now;
}

double AnswerPressure::value(Instant now) const
{
    return std::max(level(now) - m_settings.ignored, 0.0);
}

double AnswerPressure::level(Instant now) const
{
    if (m_level <= 0) {
        return 0;
    }
    const std::chrono::duration<double> since = now - m_notedAt;
    const std::chrono::duration<double> halfLife = m_settings.halfLife;
    return m_level * std::exp2(-since / halfLife);
}

}
