#include "requests/runresolver.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Combines the verdicts of two attempts: the one with more weight counts. A complete answer outweighs everything; an
/// attempt that may have run and can no longer be traced outweighs one that failed or did not run.
RunVerdict combined(const RunVerdict &a, const RunVerdict &b)
{
    const auto weight = [](ResolvedEnd end) {
        switch (end) {
        case ResolvedEnd::NotRun:
            return 0;
        case ResolvedEnd::Failed:
            return 1;
        case ResolvedEnd::Lost:
            return 2;
        case ResolvedEnd::Done:
            return 3;
        }
        return 0;
    };
    RunVerdict verdict = weight(a.end) >= weight(b.end) ? a : b;
    if (verdict.end == ResolvedEnd::Failed) {
        verdict.chargedTokens = std::max(a.chargedTokens, b.chargedTokens);
    }
    return verdict;
}

}

RunResolver::RunResolver(AgentPort &agents, TimerService &timers, RandomSource &random, RequestId request,
                         std::vector<Dispatch> dispatches, bool cancel, RunResolverSettings settings, Events events)
    : m_agents(agents)
    , m_timers(timers)
    , m_random(random)
    , m_request(std::move(request))
    , m_cancel(cancel)
    , m_events(std::move(events))
{
    for (Dispatch &dispatch : dispatches) {
        m_queries.push_back({std::move(dispatch), Backoff(settings.firstBackoff, settings.lastBackoff)});
    }
}

RunResolver::~RunResolver()
{
    for (const AgentQuery &query : m_queries) {
        m_timers.cancel(query.timer);
    }
}

void RunResolver::start()
{
    for (std::size_t n = 0; n < m_queries.size(); ++n) {
        sendQuery(n);
    }
}

void RunResolver::sendQuery(std::size_t n)
{
    const Dispatch &dispatch = m_queries[n].dispatch;
    m_queries[n].timer = 0;
    // IfUnread, because the entry that served the caller may still be alive beyond a network partition and be reading
    // the answer.
    const RunStop stop = m_cancel ? RunStop::IfUnread : RunStop::Never;
    m_agents.bar(dispatch.agentAddress, m_request, dispatch.attempt, stop, m_life.guard([this, n](const auto &record) {
        handleReply(n, record);
    }));
}

void RunResolver::handleReply(std::size_t n, const absl::StatusOr<RunRecord> &record)
{
    if (m_hasEnded) {
        return;
    }
    if (!record.ok()) {
        if (m_agents.isGone(m_queries[n].dispatch.agentAddress)) {
            return finishQuery(n, {ResolvedEnd::Lost, 0});
        }
        retryLater(n);
        if (!m_hasUnreachableAgent) {
            m_hasUnreachableAgent = true;
            m_events.agentUnreachable();
        }
        return;
    }
    switch (record->state) {
    case RunState::Done:
        return finishQuery(n, {ResolvedEnd::Done, record->chargedTokens});
    case RunState::Failed:
        return finishQuery(n, {ResolvedEnd::Failed, record->chargedTokens});
    case RunState::Barred:
        return finishQuery(n, {ResolvedEnd::NotRun, 0});
    case RunState::Running:
    case RunState::Unknown:
        return retryLater(n);
    }
}

void RunResolver::retryLater(std::size_t n)
{
    AgentQuery &query = m_queries[n];
    query.timer = m_timers.after(query.backoff.next(m_random), m_life.guard([this, n] {
        sendQuery(n);
    }));
}

void RunResolver::finishQuery(std::size_t n, const RunVerdict &verdict)
{
    m_queries[n].isFinished = true;
    m_verdict = combined(m_verdict, verdict);
    const bool isAllFinished = std::all_of(m_queries.begin(), m_queries.end(), [](const AgentQuery &query) {
        return query.isFinished;
    });
    // The attempts were made one after another, so the attempt with the complete answer is the last and the others need
    // not be asked.
    if (isAllFinished || verdict.end == ResolvedEnd::Done) {
        m_hasEnded = true;
        // The callback may destroy this resolver, so both values are copied first.
        const auto ended = m_events.ended;
        const RunVerdict result = m_verdict;
        ended(result);
    }
}

}
