#pragma once

#include "routing/endpointejection.h"
#include "routing/endpointstate.h"
#include "routing/routequery.h"

#include <deque>

namespace RadishSwitch
{

/// What this process itself has done with one endpoint: runs under way, runs that the last report can't know of, and
/// how they went.
class EndpointActivity
{
public:
    void noteDispatched(Instant now);
    void noteFirstToken(Instant now);

    /// Gives the time that runs have spent here since the last one ended, summed over the runs. Its mean over many
    /// ends is the mean duration of a run (Little's law), without knowing which run it was that ended.
    Duration noteFinished(RunEnd end, Instant now);

    /// A load measured at `measuredAt` was taken in.
    void noteReported(Instant measuredAt);

    int inFlight() const
    {
        return m_inFlight;
    }

    /// Runs of this process that were under way when the last load was measured, and so are part of it.
    int inFlightWhenMeasured() const
    {
        return m_inFlight - m_changeSinceMeasured;
    }

    /// How long runs have been waiting here without a first token coming from any of them; zero when none waits.
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
    /// A run more or a run less.
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
