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
    /// Barred wherever it could have started: it did not run and never will.
    NotRun,
    Done,
    /// Started and failed.
    Failed,
    /// An agent that may have run it is gone for good, and with it the proof.
    Lost,
};

/// What became of a request whose entry is gone.
struct RunVerdict {
    ResolvedEnd end = ResolvedEnd::NotRun;
    std::int64_t chargedTokens = 0;

    bool operator==(const RunVerdict &) const = default;
};

struct RunResolverSettings {
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration lastBackoff = std::chrono::seconds(10);
};

/// Finds out at the agents what became of one request.
///
/// It bars each attempt where it was or may have been sent, so that one which has not started never will, and asks
/// again with backoff while a run goes on or an agent cannot be asked.
class RunResolver
{
public:
    struct Events {
        /// Called once; nothing is asked after it.
        std::function<void(const RunVerdict &)> ended;
        /// An agent could not be asked; callers should not wait for the end.
        std::function<void()> stuck;
    };

    /// `cancel` stops a run that nobody will fetch. `places` must not be empty.
    RunResolver(AgentPort &agents, TimerService &timers, RandomSource &random, RequestId request,
                std::vector<Dispatch> places, bool cancel, RunResolverSettings settings, Events events);
    ~RunResolver();

    RunResolver(const RunResolver &) = delete;
    RunResolver &operator=(const RunResolver &) = delete;

    void start();

    bool isStuck() const
    {
        return m_isStuck;
    }

private:
    struct Place {
        Dispatch dispatch;
        Backoff backoff;
        bool isSettled = false;
        TimerId timer = 0;
    };

    void ask(std::size_t n);
    void finishAsking(std::size_t n, const absl::StatusOr<RunRecord> &record);
    void askAgainLater(std::size_t n);
    void settlePlace(std::size_t n, const RunVerdict &verdict);

    AgentPort &m_agents;
    TimerService &m_timers;
    RandomSource &m_random;
    const RequestId m_request;
    const bool m_cancel;
    const Events m_events;
    std::vector<Place> m_places;
    /// What the places settled so far say together.
    RunVerdict m_verdict;
    bool m_hasEnded = false;
    bool m_isStuck = false;
    LifetimeToken m_life;
};

}
