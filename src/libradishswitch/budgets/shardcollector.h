#pragma once

#include "agents/agentport.h"
#include "base/backoff.h"
#include "base/lifetoken.h"
#include "base/randomsource.h"
#include "base/timerservice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace RadishSwitch
{

struct ShardCollectorSettings {
    /// How long an agent that neither answers nor fails is waited for before requests go on without it.
    Duration holdLimit = std::chrono::seconds(2);
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration lastBackoff = std::chrono::seconds(10);
};

/// Collects from the agents what earlier owners of a key shard had them run, for its new owner.
///
/// The question carries the new epoch. An agent that has answered lets no run of an earlier owner start any more, so
/// its answer stays complete. Until all have answered, an idempotent request may still turn out to have run elsewhere.
class ShardCollector
{
public:
    struct Events {
        /// An agent told of a run.
        std::function<void(const RunRecord &)> found;
        /// `isHoldingRequests` or `isComplete` may have changed.
        std::function<void()> changed;
        /// An agent knows of a later owner.
        std::function<void()> deposed;
    };

    ShardCollector(AgentPort &agents, TimerService &timers, RandomSource &random, std::uint32_t shard,
                   std::uint64_t epoch, ShardCollectorSettings settings, Events events);
    ~ShardCollector();

    ShardCollector(const ShardCollector &) = delete;
    ShardCollector &operator=(const ShardCollector &) = delete;

    /// Asks the agents that were not asked yet, and drops those that are not known any more.
    void refresh();

    /// Whether requests must wait: agents that may yet answer have not, and the limit has not come.
    bool isHoldingRequests() const;

    /// Whether every agent has answered, but for the dead.
    bool isComplete() const;

private:
    enum class AgentState {
        Queried,
        Unreachable,
        /// Not to be asked, and not in the platform's list: what it knew is lost.
        Dead,
        Answered,
    };

    struct Agent {
        AgentState state = AgentState::Queried;
        Backoff backoff;
        TimerId retryTimer = 0;
    };

    void query(const std::string &address);
    void handleRuns(const std::string &address, const absl::StatusOr<std::vector<RunRecord>> &runs);
    void retryLater(const std::string &address, Agent &agent);
    void setState(Agent &agent, AgentState state);
    static bool isOpen(AgentState state);

    AgentPort &m_agentPort;
    TimerService &m_timers;
    RandomSource &m_random;
    const std::uint32_t m_shard;
    const std::uint64_t m_epoch;
    const ShardCollectorSettings m_settings;
    const Events m_events;
    std::map<std::string, Agent> m_agents;
    /// Agents that may still tell of a run.
    std::size_t m_open = 0;
    /// Set once requests went on; agents that join later do not hold them up again.
    bool m_isReleased = false;
    TimerId m_holdTimer = 0;
    LifeToken m_life;
};

}
