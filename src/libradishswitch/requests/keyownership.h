#pragma once

#include "base/backoff.h"
#include "base/lifetimetoken.h"
#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "membership/entrydirectory.h"
#include "requests/keyowner.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct KeyOwnershipSettings {
    /// Must be the same in the whole fleet and never change: a change would send the retries of a key to another owner.
    std::uint32_t shardCount = 256;
    /// Whether to receive all changes of ownership through a watch, which keeps one call to the store waiting for each
    /// process.
    bool isWatching = true;
    /// How often an owner reads its own records again, in case the watch has stopped delivering changes. Safety does
    /// not depend on it: agents refuse the runs that a deposed owner grants.
    Duration checkInterval = std::chrono::seconds(30);
    /// The age up to which the list of owners is current. A request is refused by an older list as well, but the list
    /// is then fetched again.
    Duration listLifetime = std::chrono::seconds(10);
    Duration firstBackoff = std::chrono::milliseconds(200);
    Duration lastBackoff = std::chrono::seconds(10);
    /// The time after which a caller is told to retry when the shard's owner cannot be reached.
    std::chrono::milliseconds retryAfter{2000};
};

/// The key shards that this entry owns, and the owners of the others, as recorded in the objects `keyowners/NNNN` of
/// the store.
///
/// A shard has one owner in the whole fleet. An entry takes a shard that has no owner, or whose owner is dead, by a
/// conditional write that increments the epoch. Ownership is protected by neither a lease nor a clock, but by the
/// epoch, which the agents check. So an owner that cannot reach the store stays the owner, and an owner that has been
/// deposed without noticing does no harm until it learns of it.
///
/// Changes of the other shards' owners arrive through a watch. A request for a shard that another entry owns therefore
/// costs no call to the store, even during a partition with thousands of such requests per second.
///
/// Single-threaded: the callbacks of the store and the timers must run under the same lock as the calls.
class KeyOwnership
{
public:
    using AcquireCallback = std::function<void(absl::StatusOr<KeyOwner>)>;
    using ConfirmCallback = std::function<void(absl::Status)>;
    using LostCallback = std::function<void(std::uint32_t shard)>;

    /// `self` describes this entry; its epoch is not used. `lost` is called when this entry learns that one of its
    /// shards has gone to another owner.
    KeyOwnership(ObjectStore &store, TimerService &timers, RandomSource &random, const EntryDirectory &entries,
                 KeyOwner self, KeyOwnershipSettings settings, LostCallback lost);
    ~KeyOwnership();

    KeyOwnership(const KeyOwnership &) = delete;
    KeyOwnership &operator=(const KeyOwnership &) = delete;

    /// The shard of all keyed requests of a budget.
    std::uint32_t shardOf(const BudgetId &budget) const;

    /// The epoch under which this entry owns the shard, to its knowledge; nothing when it does not own the shard.
    std::optional<std::uint64_t> epochOf(std::uint32_t shard) const;

    /// The owner that was last read from the store, which may be this entry.
    std::optional<KeyOwner> ownerOf(std::uint32_t shard) const;

    /// Makes this entry the owner of the shard when the shard was never owned, has no owner, or its owner is dead;
    /// returns the record. Errors: HomeElsewhere when another entry owns the shard; OutcomeUnknown, with a time to
    /// retry, when the owner cannot be reached but may be serving; StoreUnavailable, StoreTimeout. Each error has an
    /// unknown outcome, because it says nothing about earlier runs of the request.
    void acquire(std::uint32_t shard, AcquireCallback callback);

    /// Reads the record again, in a read that begins after this call. OK when this entry still owns the shard in that
    /// read, which proves that no other entry had granted a request of the shard before. HomeElsewhere when it does
    /// not.
    void confirm(std::uint32_t shard, ConfirmCallback callback);

    /// An agent refused a run that was granted under this epoch: checks at once whether the shard has another owner.
    void noteStaleEpoch(std::uint32_t shard, std::uint64_t epoch);

    /// Releases all shards for their next owners and calls back when every write has ended. A shard whose write failed
    /// is taken over later, like the shard of a dead owner.
    void handOver(std::function<void()> callback);

    /// The key of a shard's object in the store.
    static std::string objectKey(std::uint32_t shard);

private:
    struct KnownOwner {
        KeyOwner owner;
        std::uint64_t version = 0;
    };

    struct Acquisition {
        std::uint32_t shard = 0;
        int triesLeft = 0;
        AcquireCallback callback;
    };

    /// Callers that wait for the read in progress, and callers that arrived after it began and wait for the next read.
    struct Confirmation {
        bool isReading = false;
        std::vector<ConfirmCallback> current;
        std::vector<ConfirmCallback> next;
    };

    bool isSelf(const KeyOwner &owner) const;
    void readForAcquire(Acquisition acquisition);
    void tryTakeOver(Acquisition acquisition, const absl::StatusOr<StoredObject> &object);
    void writeSelf(Acquisition acquisition, std::uint64_t lastEpoch, std::uint64_t version);
    void readForConfirm(std::uint32_t shard);
    void finishConfirm(std::uint32_t shard, const absl::StatusOr<StoredObject> &object);
    absl::StatusOr<KeyOwner> updateOwner(std::uint32_t shard, const absl::StatusOr<StoredObject> &object);
    absl::Status refusalFor(const KeyOwner &owner) const;
    void checkOwned();
    bool isTakenByOther(const KeyOwner &owner) const;

    void listAll();
    void finishListing(const absl::StatusOr<StoreChanges> &changes);
    void watch(std::uint64_t fromVersion);
    void retryListingLater();
    void replaceSilentWatch();
    void updateOwners(const std::vector<StoredObject> &objects);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    const EntryDirectory &m_entries;
    const KeyOwner m_self;
    const KeyOwnershipSettings m_settings;
    const LostCallback m_lost;
    std::map<std::uint32_t, KnownOwner> m_knownOwners;
    std::map<std::uint32_t, Confirmation> m_confirmations;
    bool m_isHandedOver = false;
    bool m_isListing = false;
    bool m_isWatchOpen = false;
    /// Number of the current watch. Answers to earlier watches are ignored.
    std::uint64_t m_watchNumber = 0;
    std::optional<Instant> m_listedAt;
    Backoff m_backoff;
    TimerId m_listTimer = 0;
    TimerId m_checkTimer = 0;
    LifetimeToken m_life;
};

}
