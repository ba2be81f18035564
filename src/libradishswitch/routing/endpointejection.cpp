#include "routing/endpointejection.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

bool EndpointEjection::isAllowed(Instant now) const
{
    return !m_isTripped || (now >= m_ejectedUntil && !m_isProbing);
}

bool EndpointEjection::isEjected(Instant now) const
{
    return m_isTripped && now < m_ejectedUntil;
}

void EndpointEjection::noteDispatched(Instant now)
{
    m_isProbing = m_isTripped && now >= m_ejectedUntil;
}

void EndpointEjection::noteSucceeded(const EjectionSettings &settings, Instant now)
{
    rollWindow(settings, now);
    ++m_windowRuns;
    m_consecutiveFailures = 0;
    m_isProbing = false;
    // A run that was started before the ejection and succeeds during it says nothing about the endpoint's present
    // state.
    if (m_isTripped && now >= m_ejectedUntil) {
        m_isTripped = false;
        m_windowRuns = 0;
        m_windowFailures = 0;
    }
}

void EndpointEjection::noteNeutral()
{
    m_isProbing = false;
}

bool EndpointEjection::noteFailed(const EjectionSettings &settings, Instant now)
{
    rollWindow(settings, now);
    ++m_windowRuns;
    ++m_windowFailures;
    ++m_consecutiveFailures;
    if (m_isTripped) {
        return std::exchange(m_isProbing, false);
    }
    const bool isShareReached =
        m_windowRuns >= settings.minimumWindowRuns && m_windowFailures >= settings.failureShare * m_windowRuns;
    return m_consecutiveFailures >= settings.consecutiveFailures || isShareReached;
}

void EndpointEjection::eject(const EjectionSettings &settings, Instant now)
{
    constexpr int kMaximumDoublings = 10;
    const Duration span = settings.firstEjection * (1 << std::min(m_ejections, kMaximumDoublings));
    ++m_ejections;
    m_isTripped = true;
    m_isProbing = false;
    m_ejectedUntil = now + std::min(span, settings.longestEjection);
}

void EndpointEjection::rollWindow(const EjectionSettings &settings, Instant now)
{
    if (now - m_windowBegin < settings.window) {
        return;
    }
    m_windowBegin = now;
    m_windowRuns = 0;
    m_windowFailures = 0;
}

}
