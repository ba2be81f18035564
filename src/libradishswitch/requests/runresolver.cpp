#include "requests/runresolver.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// What one place says is outweighed by what another says: no answer by an answer, a proof that is lost by a proof of
/// an answer.
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
                         std::vector<Dispatch> places, bool cancel, RunResolverSettings settings, Events events)
    : m_agents(agents)
    , m_timers(timers)
    , m_random(random)
    , m_request(std::move(request))
    , m_cancel(cancel)
    , m_events(std::move(events))
{
    for (Dispatch &place : places) {
        m_places.push_back({std::move(place), Backoff(settings.firstBackoff, settings.lastBackoff)});
    }
}

RunResolver::~RunResolver()
{
    for (const Place &place : m_places) {
        m_timers.cancel(place.timer);
    }
}

void RunResolver::start()
{
    for (std::size_t n = 0; n < m_places.size(); ++n) {
        ask(n);
    }
}

void RunResolver::ask(std::size_t n)
{
    const Dispatch &dispatch = m_places[n].dispatch;
    m_places[n].timer = 0;
    // The entry that served the caller may be alive on the other side of a cut, and read the answer.
    const RunStop stop = m_cancel ? RunStop::IfUnread : RunStop::Never;
    m_agents.bar(dispatch.agentAddress, m_request, dispatch.attempt, stop, m_life.guard([this, n](const auto &record) {
        finishAsking(n, record);
    }));
}

void RunResolver::finishAsking(std::size_t n, const absl::StatusOr<RunRecord> &record)
{
    if (m_hasEnded) {
        return;
    }
    if (!record.ok()) {
        if (m_agents.isGone(m_places[n].dispatch.agentAddress)) {
            return settlePlace(n, {ResolvedEnd::Lost, 0});
        }
        askAgainLater(n);
        if (!m_isStuck) {
            m_isStuck = true;
            m_events.stuck();
        }
        return;
    }
    switch (record->state) {
    case RunState::Done:
        return settlePlace(n, {ResolvedEnd::Done, record->chargedTokens});
    case RunState::Failed:
        return settlePlace(n, {ResolvedEnd::Failed, record->chargedTokens});
    case RunState::Barred:
        return settlePlace(n, {ResolvedEnd::NotRun, 0});
    case RunState::Running:
    case RunState::Unknown:
        return askAgainLater(n);
    }
}

void RunResolver::askAgainLater(std::size_t n)
{
    Place &place = m_places[n];
    place.timer = m_timers.after(place.backoff.next(m_random), m_life.guard([this, n] {
        ask(n);
    }));
}

void RunResolver::settlePlace(std::size_t n, const RunVerdict &verdict)
{
    m_places[n].isSettled = true;
    m_verdict = combined(m_verdict, verdict);
    const bool isAllSettled = std::all_of(m_places.begin(), m_places.end(), [](const Place &place) {
        return place.isSettled;
    });
    // The attempts follow one another, so the one that gave the whole answer is the last.
    if (isAllSettled || verdict.end == ResolvedEnd::Done) {
        m_hasEnded = true;
        // The one that is told may destroy this resolver.
        const auto ended = m_events.ended;
        const RunVerdict whole = m_verdict;
        ended(whole);
    }
}

}
