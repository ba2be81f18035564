#include "requests/keyshards.h"

#include "base/failure.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

/// The epoch of a shard that had no earlier owner, so that there are no earlier runs to collect.
constexpr std::uint64_t kFirstEpoch = 1;

}

KeyShards::KeyShards(ObjectStore &store, AgentPort &agents, TimerService &timers, RandomSource &random,
                     const EntryDirectory &entries, KeyOwner self, KeyOwnershipSettings ownership,
                     ShardCollectorSettings collector, Events events)
    : m_agents(agents)
    , m_timers(timers)
    , m_random(random)
    , m_collectorSettings(collector)
    , m_events(std::move(events))
    , m_ownership(store, timers, random, entries, std::move(self), ownership, [this](std::uint32_t shard) {
        handleLoss(shard);
    })
{
}

void KeyShards::prepare(std::uint32_t shard, ReadyCallback callback)
{
    Shard &state = m_shards[shard];
    const bool isOwned = state.epoch != 0 && m_ownership.epochOf(shard) == state.epoch;
    if (isOwned && !(state.collector && state.collector->isHoldingRequests())) {
        return callback(absl::OkStatus());
    }
    state.waiting.push_back(std::move(callback));
    if (isOwned || state.isAcquiring) {
        return;
    }
    state.isAcquiring = true;
    m_ownership.acquire(shard, m_life.guard([this, shard](const auto &owner) {
        finishAcquiring(shard, owner);
    }));
}

void KeyShards::finishAcquiring(std::uint32_t shard, const absl::StatusOr<KeyOwner> &owner)
{
    m_shards[shard].isAcquiring = false;
    if (!owner.ok()) {
        return answerWaiting(shard, owner.status());
    }
    collect(shard, owner->epoch);
}

void KeyShards::collect(std::uint32_t shard, std::uint64_t epoch)
{
    Shard &state = m_shards[shard];
    state.epoch = epoch;
    if (epoch == kFirstEpoch) {
        state.collector.reset();
        return answerWaiting(shard, absl::OkStatus());
    }
    ShardCollector::Events events;
    events.found = [this, shard](const RunRecord &record) {
        m_events.runFound(shard, record);
    };
    events.changed = [this, shard, epoch] {
        collectorChanged(shard, epoch);
    };
    events.deposed = [this, shard, epoch] {
        m_ownership.noteStaleEpoch(shard, epoch);
    };
    state.collector = std::make_unique<ShardCollector>(m_agents, m_timers, m_random, shard, epoch, m_collectorSettings,
                                                       std::move(events));
    collectorChanged(shard, epoch);
}

void KeyShards::collectorChanged(std::uint32_t shard, std::uint64_t epoch)
{
    const Shard &state = m_shards[shard];
    if (state.epoch != epoch || !state.collector) {
        return;
    }
    if (!state.collector->isHoldingRequests()) {
        answerWaiting(shard, absl::OkStatus());
    }
    if (state.collector && state.collector->isComplete()) {
        m_events.completed(shard);
    }
}

void KeyShards::answerWaiting(std::uint32_t shard, const absl::Status &status)
{
    const auto waiting = std::exchange(m_shards[shard].waiting, {});
    for (const ReadyCallback &callback : waiting) {
        callback(status);
    }
}

bool KeyShards::isComplete(std::uint32_t shard) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || it->second.epoch == 0) {
        return false;
    }
    return !it->second.collector || it->second.collector->isComplete();
}

bool KeyShards::isAcquired(std::uint32_t shard) const
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second.epoch != 0;
}

void KeyShards::refresh()
{
    for (auto &[shard, state] : m_shards) {
        if (state.collector) {
            state.collector->refresh();
        }
    }
}

void KeyShards::handleLoss(std::uint32_t shard)
{
    Shard &state = m_shards[shard];
    state.epoch = 0;
    state.collector.reset();
    m_events.lost(shard);
    answerWaiting(shard, withUnknownOutcome(makeFailure(FailureCode::HomeElsewhere, "the key shard has a new owner")));
}

}
