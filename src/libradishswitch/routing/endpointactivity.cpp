#include "routing/endpointactivity.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

// Only reports shorten the list of changes; this limit bounds it when no reports come.
constexpr std::size_t kMaximumChanges = 2048;

}

void EndpointActivity::noteDispatched(Instant now)
{
    if (m_awaitingFirstToken == 0) {
        m_progressAt = now;
    }
    ++m_awaitingFirstToken;
    recordChange(1, now);
    m_ejection.noteDispatched(now);
}

void EndpointActivity::noteFirstToken(Instant now)
{
    m_awaitingFirstToken = std::max(0, m_awaitingFirstToken - 1);
    m_progressAt = now;
}

Duration EndpointActivity::noteFinished(RunEnd end, Instant now)
{
    recordChange(-1, now);
    // It is not known whether the failed run already had its first token. Assuming that it had none can only make the
    // endpoint look less stalled than it is.
    if (end != RunEnd::Ok) {
        m_awaitingFirstToken = std::max(0, m_awaitingFirstToken - 1);
    }
    m_awaitingFirstToken = std::min(m_awaitingFirstToken, m_inFlight);
    return std::exchange(m_runTimeSinceEnd, Duration::zero());
}

void EndpointActivity::noteReported(Instant measuredAt)
{
    while (!m_changes.empty() && m_changes.front().at <= measuredAt) {
        m_changeSinceMeasured -= m_changes.front().difference;
        m_changes.pop_front();
    }
}

Duration EndpointActivity::stalledFor(Instant now) const
{
    return m_awaitingFirstToken == 0 ? Duration::zero() : now - m_progressAt;
}

void EndpointActivity::recordChange(int difference, Instant now)
{
    m_runTimeSinceEnd += m_inFlight * (now - m_changedAt);
    m_changedAt = now;
    m_inFlight += difference;
    m_changes.push_back({now, difference});
    m_changeSinceMeasured += difference;
    if (m_changes.size() > kMaximumChanges) {
        m_changeSinceMeasured -= m_changes.front().difference;
        m_changes.pop_front();
    }
}

}
