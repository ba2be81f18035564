#pragma once

#include "endpointejection.h"
#include "endpointstate.h"
#include "routequery.h"

#include <cstdint>
#include <deque>

namespace RadishSwitch
{

/// What this process itself has done with one endpoint: runs under way, runs that the last report can't know of, and
/// how they went.
class EndpointUse
{
public:
    void noteDispatched(std::int64_t tokens, Instant now);
    void noteFirstToken(Duration taken, Instant now);
    void noteFinished(RunEnd end);

    /// A load measured at `measuredAt` was taken in: it includes what was dispatched before.
    void noteReported(Instant measuredAt);

    int inFlight() const
    {
        return m_inFlight;
    }

    /// Runs dispatched, less runs finished, since the last load was measured.
    int runsSinceReport() const
    {
        return static_cast<int>(m_dispatched.size()) - m_finishedSinceReport;
    }

    int dispatchedSinceReport() const
    {
        return static_cast<int>(m_dispatched.size());
    }

    std::int64_t tokensSinceReport() const
    {
        return m_tokensSinceReport;
    }

    /// How long runs have been waiting here without a first token coming from any of them; zero when none waits.
    Duration withoutProgress(Instant now) const;

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
    struct OwnDispatch {
        Instant at;
        std::int64_t tokens;
    };

    int m_inFlight = 0;
    int m_awaitingFirstToken = 0;
    Instant m_progressAt{};
    int m_finishedSinceReport = 0;
    std::int64_t m_tokensSinceReport = 0;
    std::deque<OwnDispatch> m_dispatched;
    EndpointEjection m_ejection;
};

}
