#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/storecalllimiter.h"
#include "budgets/ledgerchange.h"
#include "budgets/ledgersettings.h"

#include <memory>
#include <optional>
#include <vector>

namespace RadishSwitch
{

enum class Urgency {
    /// A request waits for the change.
    Urgent,
    /// Other holders lack the tokens that the change returns, or the change concerns a budget that runs low.
    Soon,
    /// No request waits for the change; it may join another write of the shard.
    Relaxed,
};

/// The services of the process that a writer uses.
struct LedgerPorts {
    ObjectStore &store;
    TimerService &timers;
    RandomSource &random;
    StoreCallLimiter &calls;
};

/// Writes the changes of one shard to the store; all queued changes are combined into one conditional update.
///
/// Each round reads the object, applies the batch and writes the object back if it was modified. A version conflict, a
/// lost answer and a failed call all lead to another round, which reads the object first. A change whose write did take
/// effect then finds itself applied and modifies nothing. A submitted change is never abandoned, since a change with an
/// unknown outcome could still take effect later; the submitter decides what to tell a waiting request.
///
/// Callbacks are called synchronously, in the same context as the users of this class.
class ShardWriter
{
public:
    using Callback = std::function<void(const absl::Status &)>;
    using StoreStateCallback = std::function<void(bool isUnavailable)>;
    using RoundCallback = std::function<void()>;

    /// `onRound` is called when a round begins; changes that are submitted in it are written in the same round.
    ShardWriter(
        std::uint32_t shard, const LedgerPorts &ports, const LedgerSettings &settings, StoreStateCallback onStoreState,
        RoundCallback onRound = [] {});
    ~ShardWriter();

    ShardWriter(const ShardWriter &) = delete;
    ShardWriter &operator=(const ShardWriter &) = delete;

    /// Queues a change. `callback` gets the error of the change itself, or OK once the change is in the store or was
    /// found there.
    void submit(std::shared_ptr<LedgerChange> change, Urgency urgency, Callback callback);

    /// Shortens the delay of the queued changes, because a request now waits for one of them.
    void expedite();

    /// Whether so many consecutive calls have failed that the store counts as unavailable.
    bool isStoreUnavailable() const;

    /// Whether no change is queued or being written.
    bool isIdle() const;

private:
    struct Pending {
        std::shared_ptr<LedgerChange> change;
        Callback callback;
        absl::Status status;
    };

    Duration delayOf(Urgency urgency) const;
    void schedule(Duration delay);
    void begin();
    void read();
    void applyToCached();
    bool hasFailures() const;
    void cacheShard(std::uint64_t version, LedgerShard shard);
    void handleRead(const absl::StatusOr<StoredObject> &object);
    void applyBatch(std::uint64_t version, LedgerShard shard);
    void takeQueued();
    void write(std::uint64_t version, std::string value);
    void handleWritten(const absl::StatusOr<std::uint64_t> &version);
    void handleTooLarge();
    void retryAfterConflict();
    void retryAfterFailure();
    void noteStoreReachable();
    void setUnavailable(bool isUnavailable);
    Duration drawBackoff();
    void finish();
    void failBatch(const absl::Status &status);

    /// Wraps a handler as a store callback that does nothing after the writer was destroyed.
    template<typename T>
    std::function<void(T)> guarded(void (ShardWriter::*handler)(const T &));

    std::string m_key;
    LedgerPorts m_ports;
    LedgerSettings m_settings;
    StoreStateCallback m_onStoreState;
    RoundCallback m_onRound;
    std::vector<Pending> m_queue;
    std::vector<Pending> m_batch;
    /// The shard as it was last written, if `cachesShards` is set.
    std::optional<LedgerShard> m_cached;
    std::uint64_t m_cachedVersion = 0;
    LedgerShard m_written;
    /// Whether the current round started from the cached shard.
    bool m_isFromCache = false;
    bool m_isRunning = false;
    TimerId m_timer = 0;
    Instant m_dueAt{};
    int m_failures = 0;
    int m_conflicts = 0;
    bool m_isUnavailable = false;
    bool m_isOneByOne = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
