#include "limits/endpointoverload.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

EndpointOverload::EndpointOverload(EndpointOverloadSettings settings)
    : m_settings(settings)
{
}

void EndpointOverload::noteAnswer(bool isLate, Instant now)
{
    const double change = isLate ? m_settings.lateIncrease : -m_settings.inTimeDecrease;
    m_level = std::clamp(level(now) + change, 0.0, m_settings.maximum + m_settings.threshold);
    m_updatedAt = now;
}

double EndpointOverload::refusalShare(Instant now) const
{
    return std::max(level(now) - m_settings.threshold, 0.0);
}

double EndpointOverload::level(Instant now) const
{
    if (m_level <= 0) {
        return 0;
    }
    const std::chrono::duration<double> since = now - m_updatedAt;
    const std::chrono::duration<double> halfLife = m_settings.halfLife;
    return m_level * std::exp2(-since / halfLife);
}

}
