#pragma once

#include "agents/agentport.h"
#include "base/lifetimetoken.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "budgets/shardcollector.h"
#include "requests/keyownership.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace RadishSwitch
{

/// The key shards of this entry. A shard is acquired when it is first needed, and opened for requests when the agents
/// have reported the runs that earlier owners granted.
class KeyShards
{
public:
    using ReadyCallback = std::function<void(absl::Status)>;

    struct Events {
        std::function<void(std::uint32_t shard, const RunRecord &record)> runFound;
        /// Every agent has reported its runs of the shard.
        std::function<void(std::uint32_t shard)> completed;
        /// The shard has gone to another owner.
        std::function<void(std::uint32_t shard)> lost;
    };

    KeyShards(ObjectStore &store, AgentPort &agents, TimerService &timers, RandomSource &random,
              const EntryDirectory &entries, KeyOwner self, KeyOwnershipSettings ownership,
              ShardCollectorSettings collector, Events events);

    /// Calls back, during this call or later, when this entry owns the shard and may decide on its requests; or with an
    /// error of KeyOwnership::acquire.
    void prepare(std::uint32_t shard, ReadyCallback callback);

    /// Whether all runs that earlier owners granted are known here.
    bool isComplete(std::uint32_t shard) const;

    /// Whether the shard was acquired and has not gone to another owner.
    bool isAcquired(std::uint32_t shard) const;

    /// Checks which agents have joined or left.
    void refresh();

    KeyOwnership &ownership()
    {
        return m_ownership;
    }

    const KeyOwnership &ownership() const
    {
        return m_ownership;
    }

private:
    struct Shard {
        bool isAcquiring = false;
        std::uint64_t epoch = 0;
        std::vector<ReadyCallback> waiting;
        /// Collects the runs that earlier owners granted. Null when the shard had no earlier owner.
        std::unique_ptr<ShardCollector> collector;
    };

    void finishAcquiring(std::uint32_t shard, const absl::StatusOr<KeyOwner> &owner);
    void collect(std::uint32_t shard, std::uint64_t epoch);
    void collectorChanged(std::uint32_t shard, std::uint64_t epoch);
    void answerWaiting(std::uint32_t shard, const absl::Status &status);
    void handleLoss(std::uint32_t shard);

    AgentPort &m_agents;
    TimerService &m_timers;
    RandomSource &m_random;
    const ShardCollectorSettings m_collectorSettings;
    const Events m_events;
    std::map<std::uint32_t, Shard> m_shards;
    LifetimeToken m_life;
    KeyOwnership m_ownership;
};

}
