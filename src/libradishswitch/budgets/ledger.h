#pragma once

#include "base/taskqueue.h"
#include "budgets/ledgerlayout.h"
#include "budgets/shardwriter.h"

#include <absl/container/flat_hash_map.h>

namespace RadishSwitch
{

/// The budgets' ledger in the platform's store, as one process uses it: the writers of its shards, the budget of calls
/// they share, and the check that the process agrees with the ledger on the number of shards.
///
/// Nothing is written before "ledger/meta" has been read: with another count a budget would be sought in the wrong
/// object, found missing there, and paid twice. Callbacks are called in place, under the same guard as the users.
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

    /// Calls back when the store is found away or back, for one shard.
    void setStoreStateCallback(StoreStateCallback callback);

    /// Calls back when a shard is about to be read or written: what is submitted to it then costs no call of its own.
    void setRoundCallback(RoundCallback callback);

    std::uint32_t shardOf(const BudgetId &budget) const;
    std::uint32_t shardCount() const;

    /// Brings a change into a shard. InvalidSettings when the shard count is not the ledger's; else as
    /// ShardWriter::submit.
    void submit(std::uint32_t shard, std::shared_ptr<LedgerChange> change, Urgency urgency,
                ShardWriter::Callback callback);

    /// Brings a change of a budget into its shard, as above.
    void submit(const BudgetId &budget, std::shared_ptr<LedgerChange> change, Urgency urgency,
                ShardWriter::Callback callback);

    /// A request waits by now for what was submitted to this shard.
    void expedite(std::uint32_t shard);

    /// Reads a shard as it is now; an empty one when there is no such object. StoreUnavailable, StoreTimeout,
    /// ObjectMalformed, InvalidSettings.
    void readShard(std::uint32_t shard, Callback<LedgerShard> callback);

    bool isStoreUnavailable(std::uint32_t shard) const;

    /// No change waits or is being written.
    bool isIdle() const;

private:
    enum class MetaState {
        Unknown,
        Reading,
        Matches,
        Differs,
    };

    /// Runs `action` once the shard count is known to agree, or to differ.
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
    StoreCallBudget m_calls;
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
