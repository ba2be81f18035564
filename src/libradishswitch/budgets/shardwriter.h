#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/storecallbudget.h"
#include "budgets/ledgerchange.h"
#include "budgets/ledgersettings.h"

#include <memory>
#include <optional>
#include <vector>

namespace RadishSwitch
{

enum class Urgency {
    /// A request waits for it.
    Urgent,
    /// Others are short of what it gives back, or it tells of a budget that runs low.
    Soon,
    /// Nobody waits; it may ride along with another write.
    Relaxed,
};

/// What a writer needs of the process around it.
struct LedgerPorts {
    ObjectStore &store;
    TimerService &timers;
    RandomSource &random;
    StoreCallBudget &calls;
};

/// Brings the changes of one shard into the store: all that wait go into one conditional update.
///
/// Each round reads the object, applies the batch and writes it back if anything changed. A version conflict, a lost
/// answer and a failed call all lead to the next round, which begins by reading: a change whose write took effect
/// finds itself applied and changes nothing twice. A change that is submitted is never given up, since a change of
/// unknown outcome could take effect later; what its owner tells a waiting request is the owner's affair.
///
/// Part of the same aggregate as its users: callbacks are called in place, under the same guard.
class ShardWriter
{
public:
    using Callback = std::function<void(const absl::Status &)>;
    using StoreStateCallback = std::function<void(bool isUnavailable)>;
    using RoundCallback = std::function<void()>;

    /// `onRound` is called when a round begins; what is submitted inside it goes out with that round.
    ShardWriter(
        std::uint32_t shard, const LedgerPorts &ports, const LedgerSettings &settings, StoreStateCallback onStoreState,
        RoundCallback onRound = [] {});
    ~ShardWriter();

    ShardWriter(const ShardWriter &) = delete;
    ShardWriter &operator=(const ShardWriter &) = delete;

    /// Queues a change. `callback` gets the change's own failure, or OK once the change is in the store, or once the
    /// store was found to hold it.
    void submit(std::shared_ptr<LedgerChange> change, Urgency urgency, Callback callback);

    /// A request waits by now for what was submitted: it no longer rides along but goes out.
    void expedite();

    /// Whether several calls in a row have failed.
    bool isStoreUnavailable() const;

    /// Nothing waits and nothing runs.
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

    /// A callback for the store that does nothing once this writer is gone.
    template<typename T>
    std::function<void(T)> guarded(void (ShardWriter::*handler)(const T &));

    std::string m_key;
    LedgerPorts m_ports;
    LedgerSettings m_settings;
    StoreStateCallback m_onStoreState;
    RoundCallback m_onRound;
    std::vector<Pending> m_queue;
    std::vector<Pending> m_batch;
    /// The shard as it was written last, where it is kept.
    std::optional<LedgerShard> m_cached;
    std::uint64_t m_cachedVersion = 0;
    LedgerShard m_written;
    /// The round under way began with the kept shard.
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
