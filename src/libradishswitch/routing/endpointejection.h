#pragma once

#include "routing/ejectionsettings.h"

namespace RadishSwitch
{

/// Judges one endpoint by how its runs end: in use, ejected, or on probation with one run at a time.
class EndpointEjection
{
public:
    /// Whether the endpoint may get a run now. An endpoint whose ejection is over gets one, the probe.
    bool isAllowed(Instant now) const;

    bool isEjected(Instant now) const;

    void noteDispatched(Instant now);
    void noteSucceeded(const EjectionSettings &settings, Instant now);
    void noteNeutral();

    /// Gives whether the failures now suffice for an ejection. Nothing happens before `eject`.
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
