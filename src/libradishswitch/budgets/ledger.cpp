#include "budgets/ledger.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr const char *kShardCountField = "shardCount";
constexpr int kMaximumDoublings = 16;

}

Ledger::Ledger(ObjectStore &store, TimerService &timers, RandomSource &random, const LedgerSettings &settings)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_settings(settings)
    , m_calls(timers, settings.storeCallsPerSecond, settings.storeCallBurst)
{
}

Ledger::~Ledger()
{
    m_timers.cancel(m_metaTimer);
}

void Ledger::setStoreStateCallback(StoreStateCallback callback)
{
    m_onStoreState = std::move(callback);
}

void Ledger::setRoundCallback(RoundCallback callback)
{
    m_onRound = std::move(callback);
}

std::uint32_t Ledger::shardOf(const BudgetId &budget) const
{
    return ledgerShardOf(budget, m_settings.shardCount);
}

std::uint32_t Ledger::shardCount() const
{
    return m_settings.shardCount;
}

void Ledger::submit(const BudgetId &budget, std::shared_ptr<LedgerChange> change, Urgency urgency,
                    ShardWriter::Callback callback)
{
    submit(shardOf(budget), std::move(change), urgency, std::move(callback));
}

void Ledger::submit(std::uint32_t shard, std::shared_ptr<LedgerChange> change, Urgency urgency,
                    ShardWriter::Callback callback)
{
    whenMetaChecked([this, shard, change = std::move(change), urgency, callback = std::move(callback)]() mutable {
        if (m_metaState == MetaState::Differs) {
            return callback(m_metaStatus);
        }
        writer(shard).submit(std::move(change), urgency, std::move(callback));
    });
}

void Ledger::expedite(std::uint32_t shard)
{
    if (const auto it = m_writers.find(shard); it != m_writers.end()) {
        it->second->expedite();
    }
}

void Ledger::readShard(std::uint32_t shard, Callback<LedgerShard> callback)
{
    whenMetaChecked([this, shard, callback = std::move(callback)]() mutable {
        if (m_metaState == MetaState::Differs) {
            return callback(m_metaStatus);
        }
        readObject(shard, std::move(callback));
    });
}

void Ledger::readObject(std::uint32_t shard, Callback<LedgerShard> callback)
{
    auto answer = [alive = std::weak_ptr<int>(m_alive),
                   callback = std::move(callback)](const absl::StatusOr<StoredObject> &object) {
        if (alive.expired()) {
            return;
        }
        if (object.ok()) {
            return callback(LedgerShard::fromJson(object->value));
        }
        if (failureCode(object.status()) == FailureCode::ObjectMissing) {
            return callback(LedgerShard());
        }
        callback(object.status());
    };
    m_calls.acquire([this, shard, answer = std::move(answer)] {
        m_store.get(ledgerShardKey(shard), answer);
    });
}

bool Ledger::isStoreUnavailable(std::uint32_t shard) const
{
    if (m_metaState != MetaState::Matches) {
        return m_metaFailures >= m_settings.failuresUntilUnavailable;
    }
    const auto it = m_writers.find(shard);
    return it != m_writers.end() && it->second->isStoreUnavailable();
}

bool Ledger::isIdle() const
{
    return m_waiting.empty() && std::all_of(m_writers.begin(), m_writers.end(), [](const auto &it) {
               return it.second->isIdle();
           });
}

void Ledger::whenMetaChecked(std::function<void()> action)
{
    if (m_metaState == MetaState::Matches || m_metaState == MetaState::Differs) {
        return action();
    }
    m_waiting.push_back(std::move(action));
    if (m_metaState == MetaState::Unknown) {
        readMeta();
    }
}

void Ledger::readMeta()
{
    m_metaState = MetaState::Reading;
    m_calls.acquire([this] {
        m_store.get(kLedgerMetaKey,
                    [this, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<StoredObject> &object) {
                        if (!alive.expired()) {
                            handleMeta(object);
                        }
                    });
    });
}

void Ledger::handleMeta(const absl::StatusOr<StoredObject> &object)
{
    if (object.ok()) {
        return compareMeta(object->value);
    }
    if (failureCode(object.status()) == FailureCode::ObjectMissing) {
        return createMeta();
    }
    retryMeta();
}

void Ledger::createMeta()
{
    const std::string value = nlohmann::json{{kShardCountField, m_settings.shardCount}}.dump();
    m_calls.acquire([this, value] {
        m_store.put(kLedgerMetaKey, value, 0,
                    [this, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<std::uint64_t> &) {
                        // The answer does not matter: another process may have created the object first, so the object
                        // is read again.
                        if (!alive.expired()) {
                            readMeta();
                        }
                    });
    });
}

void Ledger::compareMeta(const std::string &value)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    const bool isReadable =
        json.is_object() && json.contains(kShardCountField) && json[kShardCountField].is_number_unsigned();
    if (!isReadable) {
        m_metaState = MetaState::Differs;
        m_metaStatus = makeFailure(FailureCode::ObjectMalformed,
                                   "the value of ledger/meta is not a JSON object with a shard count");
    } else if (json[kShardCountField].get<std::uint64_t>() != m_settings.shardCount) {
        m_metaState = MetaState::Differs;
        m_metaStatus = makeFailure(FailureCode::InvalidSettings,
                                   "the ledger has " + json[kShardCountField].dump()
                                       + " shards, but the settings specify " + std::to_string(m_settings.shardCount));
    } else {
        m_metaState = MetaState::Matches;
    }
    runWaiting();
}

void Ledger::retryMeta()
{
    ++m_metaFailures;
    if (m_metaFailures == m_settings.failuresUntilUnavailable && m_onStoreState) {
        for (std::uint32_t shard = 0; shard < m_settings.shardCount; ++shard) {
            m_onStoreState(shard, true);
        }
    }
    const int doublings = std::min(m_metaFailures - 1, kMaximumDoublings);
    const Duration whole = std::min(m_settings.longestBackoff, m_settings.firstBackoff * (1 << doublings));
    const Duration jitter(static_cast<Duration::rep>(m_random.below(whole.count() / 2 + 1)));
    m_metaTimer = m_timers.after(whole / 2 + jitter, [this] {
        readMeta();
    });
}

void Ledger::runWaiting()
{
    const std::vector<std::function<void()>> waiting = std::exchange(m_waiting, {});
    for (const std::function<void()> &action : waiting) {
        action();
    }
}

ShardWriter &Ledger::writer(std::uint32_t shard)
{
    std::unique_ptr<ShardWriter> &writer = m_writers[shard];
    if (!writer) {
        const LedgerPorts ports{m_store, m_timers, m_random, m_calls};
        const auto onStoreState = [this, shard](bool isUnavailable) {
            if (m_onStoreState) {
                m_onStoreState(shard, isUnavailable);
            }
        };
        const auto onRound = [this, shard] {
            if (m_onRound) {
                m_onRound(shard);
            }
        };
        writer = std::make_unique<ShardWriter>(shard, ports, m_settings, onStoreState, onRound);
    }
    return *writer;
}

}
