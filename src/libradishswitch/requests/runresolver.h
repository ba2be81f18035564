#pragma once

#include "agents/agentport.h"
#include "base/backoff.h"
#include "base/lifetimetoken.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "requests/requestregistry.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace RadishSwitch
{

enum class ResolvedEnd {
    /// Every attempt is barred: the request did not run and never will.
    NotRun,
    Done,
    /// The run started and failed.
    Failed,
    /// An agent that may have run the request is gone for good, so what happened there can no longer be found out.
    Lost,
};

/// How a request ended whose entry is gone.
struct RunVerdict {
    ResolvedEnd end = ResolvedEnd::NotRun;
    std::int64_t chargedTokens = 0;

    bool operator==(const RunVerdict &) const = default;
};

struct RunResolverSettings {
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration lastBackoff = std::chrono::seconds(10);
};

/// Asks the agents how one request ended.
///
/// It bars each attempt at every agent to which the attempt was or may have been sent, so that an attempt that has not
/// started never will. It asks again, with backoff, while a run has not ended or an agent cannot be reached.
class RunResolver
{
public:
    struct Events {
        /// Called once. The resolver sends no query after it.
        std::function<void(const RunVerdict &)> ended;
        /// An agent cannot be reached. Callers should not wait for the end of the request.
        std::function<void()> agentUnreachable;
    };

    /// `cancel` stops a run whose answer nobody will fetch. `dispatches` must not be empty.
    RunResolver(AgentPort &agents, TimerService &timers, RandomSource &random, RequestId request,
                std::vector<Dispatch> dispatches, bool cancel, RunResolverSettings settings, Events events);
    ~RunResolver();

    RunResolver(const RunResolver &) = delete;
    RunResolver &operator=(const RunResolver &) = delete;

    void start();

    bool hasUnreachableAgent() const
    {
        return m_hasUnreachableAgent;
    }

private:
    struct AgentQuery {
        Dispatch dispatch;
        Backoff backoff;
        bool isFinished = false;
        TimerId timer = 0;
    };

    void sendQuery(std::size_t n);
    void handleReply(std::size_t n, const absl::StatusOr<RunRecord> &record);
    void retryLater(std::size_t n);
    void finishQuery(std::size_t n, const RunVerdict &verdict);

    AgentPort &m_agents;
    TimerService &m_timers;
    RandomSource &m_random;
    const RequestId m_request;
    const bool m_cancel;
    const Events m_events;
    std::vector<AgentQuery> m_queries;
    /// The combined verdict of the queries that have finished so far.
    RunVerdict m_verdict;
    bool m_hasEnded = false;
    bool m_hasUnreachableAgent = false;
    LifetimeToken m_life;
};

}
