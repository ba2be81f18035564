#include "routing/endpointuse.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

// Without reports the list of changes would grow for ever.
constexpr std::size_t kMostChangesKept = 2048;

}

void EndpointUse::noteDispatched(Instant now)
{
    if (m_awaitingFirstToken == 0) {
        m_progressAt = now;
    }
    ++m_awaitingFirstToken;
    change(1, now);
    m_ejection.noteDispatched(now);
}

void EndpointUse::noteFirstToken(Instant now)
{
    m_awaitingFirstToken = std::max(0, m_awaitingFirstToken - 1);
    m_progressAt = now;
}

Duration EndpointUse::noteFinished(RunEnd end, Instant now)
{
    change(-1, now);
    // A run that failed may have had its first token; counting it as one that waited errs towards no blame.
    if (end != RunEnd::Ok) {
        m_awaitingFirstToken = std::max(0, m_awaitingFirstToken - 1);
    }
    m_awaitingFirstToken = std::min(m_awaitingFirstToken, m_inFlight);
    return std::exchange(m_timeInRuns, Duration::zero());
}

void EndpointUse::noteReported(Instant measuredAt)
{
    while (!m_changes.empty() && m_changes.front().at <= measuredAt) {
        m_changeSinceMeasured -= m_changes.front().difference;
        m_changes.pop_front();
    }
}

Duration EndpointUse::withoutProgress(Instant now) const
{
    return m_awaitingFirstToken == 0 ? Duration::zero() : now - m_progressAt;
}

void EndpointUse::change(int difference, Instant now)
{
    m_timeInRuns += m_inFlight * (now - m_changedAt);
    m_changedAt = now;
    m_inFlight += difference;
    m_changes.push_back({now, difference});
    m_changeSinceMeasured += difference;
    if (m_changes.size() > kMostChangesKept) {
        m_changeSinceMeasured -= m_changes.front().difference;
        m_changes.pop_front();
    }
}

}
