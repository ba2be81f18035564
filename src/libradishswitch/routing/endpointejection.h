#pragma once

#include "routing/ejectionsettings.h"

namespace RadishSwitch
{

/// Circuit breaker of one endpoint. The endpoint is in use, ejected after too many failed runs, or, once the ejection
/// has ended, on probation: it then gets one run at a time. A success puts it back in use, a failure ejects it again.
class EndpointEjection
{
public:
    /// Whether the endpoint may get a run now. After its ejection has ended, an endpoint may get one run at a time, the
    /// probe.
    bool isAllowed(Instant now) const;

    bool isEjected(Instant now) const;

    void noteDispatched(Instant now);
    void noteSucceeded(const EjectionSettings &settings, Instant now);
    /// A run ended in a way that says nothing about the endpoint, such as a cancellation.
    void noteNeutral();

    /// Counts a failed run and returns whether the endpoint should be ejected now. The caller decides, and calls
    /// `eject`.
    bool noteFailed(const EjectionSettings &settings, Instant now);

    void eject(const EjectionSettings &settings, Instant now);

private:
    void rollWindow(const EjectionSettings &settings, Instant now);

    int m_consecutiveFailures = 0;
    int m_windowRuns = 0;
    int m_windowFailures = 0;
    Instant m_windowBegin{};
    int m_ejections = 0;
    bool m_isTripped = false;
    bool m_isProbing = false;
    Instant m_ejectedUntil{};
};

}
