#pragma once

#include "agents/agentport.h"
#include "base/backoff.h"
#include "base/lifetimetoken.h"
#include "base/randomsource.h"
#include "base/timerservice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace RadishSwitch
{

struct ShardCollectorSettings {
    /// Maximum time for which requests wait for an agent that neither answers nor fails.
    Duration holdLimit = std::chrono::seconds(2);
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration lastBackoff = std::chrono::seconds(10);
};

/// Collects the runs that earlier owners of a key shard started at the agents, for the new owner of the shard.
///
/// The query contains the new epoch. An agent that has answered starts no more runs for an earlier owner, so its answer
/// stays complete. Until all agents have answered, an idempotent request may turn out to have run already.
class ShardCollector
{
public:
    struct Events {
        /// An agent reported a run.
        std::function<void(const RunRecord &)> found;
        /// `isHoldingRequests` or `isComplete` may have changed.
        std::function<void()> changed;
        /// An agent knows of a later owner of the shard.
        std::function<void()> deposed;
    };

    ShardCollector(AgentPort &agents, TimerService &timers, RandomSource &random, std::uint32_t shard,
                   std::uint64_t epoch, ShardCollectorSettings settings, Events events);
    ~ShardCollector();

    ShardCollector(const ShardCollector &) = delete;
    ShardCollector &operator=(const ShardCollector &) = delete;

    /// Queries the agents that were not queried yet, and removes those that are no longer listed.
    void refresh();

    /// Whether requests must wait, because some agents have not answered but still may, and the time limit has not
    /// passed.
    bool isHoldingRequests() const;

    /// Whether every agent has answered, except the dead ones.
    bool isComplete() const;

private:
    enum class AgentState {
        Queried,
        Unreachable,
        /// Unreachable and not in the platform's list: its records are lost.
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
    /// Number of agents that may still report a run.
    std::size_t m_open = 0;
    /// Set when requests proceed for the first time; agents that join later do not make them wait again.
    bool m_isReleased = false;
    TimerId m_holdTimer = 0;
    LifetimeToken m_life;
};

}
