#pragma once

#include "base/taskqueue.h"
#include "budgets/ledgerlayout.h"
#include "budgets/shardwriter.h"

#include <absl/container/flat_hash_map.h>

namespace RadishSwitch
{

/// The budget ledger in the platform's store, as used by one process: the writers of its shards, the rate limit on
/// store calls that they share, and the check that this process and the ledger agree on the number of shards.
///
/// Nothing is written before the object "ledger/meta" has been read. With a different number of shards, a budget would
/// be looked up in the wrong object, found missing there and paid for a second time. Callbacks are called
/// synchronously, in the same context as the users of this class.
class Ledger
{
public:
    using StoreStateCallback = std::function<void(std::uint32_t shard, bool isUnavailable)>;
    using RoundCallback = std::function<void(std::uint32_t shard)>;
    template<typename T>
    using Callback = std::function<void(absl::StatusOr<T>)>;

    Ledger(ObjectStore &store, TimerService &timers, RandomSource &random, const LedgerSettings &settings);
    ~Ledger();

    Ledger(const Ledger &) = delete;
    Ledger &operator=(const Ledger &) = delete;

    /// Sets the callback for a shard whose store becomes unavailable or available again.
    void setStoreStateCallback(StoreStateCallback callback);

    /// Sets the callback for a shard that is about to be read or written. A change that is submitted in the callback
    /// needs no store call of its own.
    void setRoundCallback(RoundCallback callback);

    std::uint32_t shardOf(const BudgetId &budget) const;
    std::uint32_t shardCount() const;

    /// Submits a change to a shard. Fails with InvalidSettings when the configured number of shards differs from that
    /// of the ledger; otherwise as ShardWriter::submit.
    void submit(std::uint32_t shard, std::shared_ptr<LedgerChange> change, Urgency urgency,
                ShardWriter::Callback callback);

    /// Submits a change to the shard of a budget, as above.
    void submit(const BudgetId &budget, std::shared_ptr<LedgerChange> change, Urgency urgency,
                ShardWriter::Callback callback);

    /// Shortens the delay of the changes that wait in this shard's queue, because a request now waits for one of them.
    void expedite(std::uint32_t shard);

    /// Reads a shard from the store; the result is an empty shard when the object does not exist. Fails with
    /// StoreUnavailable, StoreTimeout, ObjectMalformed or InvalidSettings.
    void readShard(std::uint32_t shard, Callback<LedgerShard> callback);

    bool isStoreUnavailable(std::uint32_t shard) const;

    /// Whether no change waits or is being written.
    bool isIdle() const;

private:
    enum class MetaState {
        Unknown,
        Reading,
        Matches,
        Differs,
    };

    /// Runs `action` once the shard count in the store has been compared with the configured one.
    void whenMetaChecked(std::function<void()> action);
    void readMeta();
    void handleMeta(const absl::StatusOr<StoredObject> &object);
    void createMeta();
    void compareMeta(const std::string &value);
    void retryMeta();
    void runWaiting();
    void readObject(std::uint32_t shard, Callback<LedgerShard> callback);
    ShardWriter &writer(std::uint32_t shard);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    LedgerSettings m_settings;
    StoreCallLimiter m_calls;
    StoreStateCallback m_onStoreState;
    RoundCallback m_onRound;
    absl::flat_hash_map<std::uint32_t, std::unique_ptr<ShardWriter>> m_writers;
    MetaState m_metaState = MetaState::Unknown;
    absl::Status m_metaStatus;
    int m_metaFailures = 0;
    TimerId m_metaTimer = 0;
    std::vector<std::function<void()>> m_waiting;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
