#pragma once

#include "routing/endpointejection.h"
#include "routing/endpointstate.h"
#include "routing/routequery.h"

#include <deque>

namespace RadishSwitch
{

/// The runs that this process has sent to one endpoint: how many are under way, which of them the last report cannot
/// include yet, and how earlier ones ended.
class EndpointActivity
{
public:
    void noteDispatched(Instant now);
    void noteFirstToken(Instant now);

    /// Returns the time that all runs together have spent at the endpoint since the last run ended. Averaged over many
    /// ends, this is the mean duration of a run (Little's law), and it needs no record of when each single run began.
    Duration noteFinished(RunEnd end, Instant now);

    /// The directory applied a load that was measured at `measuredAt`.
    void noteReported(Instant measuredAt);

    int inFlight() const
    {
        return m_inFlight;
    }

    /// Number of this process's runs that were under way when the last reported load was measured, and are therefore
    /// part of it.
    int inFlightWhenMeasured() const
    {
        return m_inFlight - m_changeSinceMeasured;
    }

    /// How long this process's runs at the endpoint have waited while no run there got its first token. Zero when no
    /// run waits for its first token.
    Duration stalledFor(Instant now) const;

    EndpointEjection &ejection()
    {
        return m_ejection;
    }

    const EndpointEjection &ejection() const
    {
        return m_ejection;
    }

    Instant startedAt{};

private:
    /// A run that began (+1) or ended (-1).
    struct InFlightChange {
        Instant at;
        int difference = 0;
    };

    void recordChange(int difference, Instant now);

    int m_inFlight = 0;
    int m_awaitingFirstToken = 0;
    Instant m_progressAt{};
    Instant m_changedAt{};
    Duration m_runTimeSinceEnd{};
    std::deque<InFlightChange> m_changes;
    int m_changeSinceMeasured = 0;
    EndpointEjection m_ejection;
};

}
