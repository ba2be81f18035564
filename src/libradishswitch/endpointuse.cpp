#include "endpointuse.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

// Without reports the list of own dispatches would grow for ever.
constexpr std::size_t kMostDispatchesKept = 1024;

}

void EndpointUse::noteDispatched(std::int64_t tokens, Instant now)
{
    if (m_awaitingFirstToken == 0) {
        m_progressAt = now;
    }
    ++m_inFlight;
    ++m_awaitingFirstToken;
    m_dispatched.push_back({now, tokens});
    m_tokensSinceReport += tokens;
    if (m_dispatched.size() > kMostDispatchesKept) {
        m_tokensSinceReport -= m_dispatched.front().tokens;
        m_dispatched.pop_front();
    }
    m_ejection.noteDispatched(now);
}

void EndpointUse::noteFirstToken(Duration, Instant now)
{
    m_awaitingFirstToken = std::max(0, m_awaitingFirstToken - 1);
    m_progressAt = now;
}

void EndpointUse::noteFinished(RunEnd end)
{
    m_inFlight = std::max(0, m_inFlight - 1);
    // A run that failed may have had its first token; counting it as one that waited errs towards no blame.
    if (end != RunEnd::Ok) {
        m_awaitingFirstToken = std::max(0, m_awaitingFirstToken - 1);
    }
    m_awaitingFirstToken = std::min(m_awaitingFirstToken, m_inFlight);
    ++m_finishedSinceReport;
}

void EndpointUse::noteReported(Instant measuredAt)
{
    while (!m_dispatched.empty() && m_dispatched.front().at <= measuredAt) {
        m_tokensSinceReport -= m_dispatched.front().tokens;
        m_dispatched.pop_front();
    }
    m_finishedSinceReport = 0;
}

Duration EndpointUse::withoutProgress(Instant now) const
{
    return m_awaitingFirstToken == 0 ? Duration::zero() : now - m_progressAt;
}

}
