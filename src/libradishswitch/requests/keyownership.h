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
    /// The same all over the fleet, for ever: a change would send the retries of a key to another owner.
    std::uint32_t shardCount = 256;
    /// Whether to hear of all changes by a watch; one waiting call a process.
    bool isWatching = true;
    /// How often an owner reads its own records back, should the watch have gone silent. Not needed for safety: agents
    /// refuse what a deposed owner grants.
    Duration checkInterval = std::chrono::seconds(30);
    /// How old the list of owners may be when a request is refused by it; an older one is fetched anew meanwhile.
    Duration listLifetime = std::chrono::seconds(10);
    Duration firstBackoff = std::chrono::milliseconds(200);
    Duration lastBackoff = std::chrono::seconds(10);
    /// What a caller is told when the owner cannot be asked.
    std::chrono::milliseconds retryAfter{2000};
};

/// Which key shards this entry owns, and who owns the others, by the objects `keyowners/NNNN` of the store.
///
/// A shard has one owner over the whole fleet. It moves by conditional write with the epoch raised by one: when it is
/// free, or when its owner is seen dead. No lease and no clock guards it; the epoch does, at the agents. So an owner
/// that cannot reach the store stays owner, and one that was deposed unaware does no harm until it finds out.
///
/// Who owns the other shards is heard by a watch, so that a request for a shard that another entry owns costs the store
/// nothing, also while a partition lasts and thousands of them come each second.
///
/// Single-threaded; the answers of the store and the timers must come under the same guard as the calls.
class KeyOwnership
{
public:
    using AcquireCallback = std::function<void(absl::StatusOr<KeyOwner>)>;
    using ConfirmCallback = std::function<void(absl::Status)>;
    using LostCallback = std::function<void(std::uint32_t shard)>;

    /// `self` names this entry; its epoch is not used. `lost` is called when a shard turns out to have gone to another.
    KeyOwnership(ObjectStore &store, TimerService &timers, RandomSource &random, const EntryDirectory &entries,
                 KeyOwner self, KeyOwnershipSettings settings, LostCallback lost);
    ~KeyOwnership();

    KeyOwnership(const KeyOwnership &) = delete;
    KeyOwnership &operator=(const KeyOwnership &) = delete;

    /// The shard to which all keyed requests of a budget belong.
    std::uint32_t shardOf(const BudgetId &budget) const;

    /// The epoch under which this entry owns the shard, as far as it knows; nothing when it does not own it.
    std::optional<std::uint64_t> epochOf(std::uint32_t shard) const;

    /// The owner as last read, whoever it is.
    std::optional<KeyOwner> ownerOf(std::uint32_t shard) const;

    /// Makes this entry the shard's owner if it is free, was never owned, or its owner is dead, and gives the record.
    /// Errors: HomeElsewhere when another owns it; OutcomeUnknown, with the time to come back, when the owner cannot
    /// be reached but may be serving; StoreUnavailable, StoreTimeout. Each is marked as of unknown outcome: nothing
    /// was learned of the request's past.
    void acquire(std::uint32_t shard, AcquireCallback callback);

    /// Reads the record again, beginning after this call. OK when this entry was still the owner then; so nobody else
    /// had granted anything in the shard. HomeElsewhere when it was not.
    void confirm(std::uint32_t shard, ConfirmCallback callback);

    /// An agent refused a run granted under this epoch: look at once whether the shard has gone.
    void noteStaleEpoch(std::uint32_t shard, std::uint64_t epoch);

    /// Gives all shards free for the next owner and calls back when each write has ended. A shard whose write did not
    /// come through is taken over later like a dead owner's.
    void handOver(std::function<void()> callback);

    /// The key of a shard's object.
    static std::string objectKey(std::uint32_t shard);

private:
    struct Known {
        KeyOwner owner;
        std::uint64_t version = 0;
    };

    struct Acquisition {
        std::uint32_t shard = 0;
        int triesLeft = 0;
        AcquireCallback callback;
    };

    /// Who waits for a read that is under way, and who came too late for it and waits for the next.
    struct Confirmation {
        bool isReading = false;
        std::vector<ConfirmCallback> current;
        std::vector<ConfirmCallback> next;
    };

    bool isSelf(const KeyOwner &owner) const;
    void readForAcquire(Acquisition acquisition);
    void considerTaking(Acquisition acquisition, const absl::StatusOr<StoredObject> &object);
    void writeSelf(Acquisition acquisition, std::uint64_t lastEpoch, std::uint64_t version);
    void readForConfirm(std::uint32_t shard);
    void finishConfirm(std::uint32_t shard, const absl::StatusOr<StoredObject> &object);
    absl::StatusOr<KeyOwner> learn(std::uint32_t shard, const absl::StatusOr<StoredObject> &object);
    absl::Status refusalFor(const KeyOwner &owner) const;
    void checkOwned();
    bool isTakenByOther(const KeyOwner &owner) const;

    void listAll();
    void finishListing(const absl::StatusOr<StoreChanges> &changes);
    void watch(std::uint64_t fromVersion);
    void listAgainLater();
    void replaceSilentWatch();
    void takeIn(const std::vector<StoredObject> &objects);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    const EntryDirectory &m_entries;
    const KeyOwner m_self;
    const KeyOwnershipSettings m_settings;
    const LostCallback m_lost;
    std::map<std::uint32_t, Known> m_known;
    std::map<std::uint32_t, Confirmation> m_confirmations;
    bool m_isHandedOver = false;
    bool m_isListing = false;
    bool m_isWatchOpen = false;
    /// An answer of an earlier watch than this one is dropped.
    std::uint64_t m_watchNumber = 0;
    std::optional<Instant> m_listedAt;
    Backoff m_backoff;
    TimerId m_listTimer = 0;
    TimerId m_checkTimer = 0;
    LifetimeToken m_life;
};

}
