#pragma once

#include "base/backoff.h"
#include "base/lifetimetoken.h"
#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "requests/claim.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct ClaimStoreSettings {
    /// How long a claim is kept, measured by the wall clock. The hours make clocks that differ by seconds irrelevant.
    std::chrono::milliseconds expiry = std::chrono::hours(24);
    /// The most claims of one shard. Further claims are refused, because the object must stay smaller than a megabyte.
    std::size_t maximum = 4000;
    /// How long state updates are collected before they are written on their own. A claim that is written earlier
    /// includes them.
    Duration updateDelay = std::chrono::seconds(1);
    Duration firstBackoff = std::chrono::milliseconds(200);
    Duration lastBackoff = std::chrono::seconds(30);
    std::chrono::milliseconds retryAfter{2000};
};

/// The claims on non-idempotent requests, kept in the objects `claims/NNNN` of the object store, one object for each
/// key shard.
///
/// A home claims a request by a conditional write before it sends the request to an agent. When two homes both believe
/// that they own the shard, only one of the writes succeeds and the other home finds the claim of the first. Claims
/// that arrive while a read or write is in progress are written together.
class ClaimStore
{
public:
    using FindCallback = std::function<void(absl::StatusOr<std::optional<Claim>>)>;
    using ClaimCallback = std::function<void(absl::StatusOr<Claim>)>;

    ClaimStore(ObjectStore &store, TimerService &timers, RandomSource &random, ClaimStoreSettings settings);
    ~ClaimStore();

    ClaimStore(const ClaimStore &) = delete;
    ClaimStore &operator=(const ClaimStore &) = delete;

    /// Looks up the claim on a request; the callback is called during this call or later. A request that is reported as
    /// unclaimed may have been claimed since; `claim` then finds that claim. Errors: StoreUnavailable, StoreTimeout,
    /// ObjectMalformed.
    void find(std::uint32_t shard, const RequestId &request, FindCallback callback);

    /// Claims a request unless it is claimed already, and returns the claim that is in force: the caller's own,
    /// recognised by its attempt, or an earlier one. Errors: those of `find`, and Overloaded when the shard has the
    /// maximum number of claims. After an error the caller must not run the request. If the failed write may have taken
    /// effect, the claim is later set to NotRun.
    void claim(std::uint32_t shard, Claim claim, ClaimCallback callback);

    /// Sets the state in which a claimed request ended. The update is written with the next claims or after
    /// `updateDelay`, and retried until the store has accepted it. Until then the request stays claimed, which is safe
    /// because it cannot run again.
    void setState(std::uint32_t shard, const RequestId &request, const AttemptId &attempt, ClaimState state);

    /// Drops the cached claims of a shard that went to another owner. Updates are kept until they are written.
    void forget(std::uint32_t shard);

    /// Whether there are state updates that have not been written to the store yet.
    bool hasUnwrittenUpdates() const;

    static std::string objectKey(std::uint32_t shard);

private:
    struct Lookup {
        RequestId request;
        FindCallback callback;
    };

    struct PendingClaim {
        Claim claim;
        ClaimCallback callback;
    };

    struct StateUpdate {
        AttemptId attempt;
        ClaimState state = ClaimState::Claimed;

        bool operator==(const StateUpdate &) const = default;
    };

    using Claims = std::map<RequestId, Claim>;

    struct CachedShard {
        bool isLoaded = false;
        std::uint64_t version = 0;
        Claims claims;

        std::vector<Lookup> lookups;
        std::vector<PendingClaim> pending;
        std::map<RequestId, StateUpdate> updates;

        /// Whether a read or write is in progress; there is only one at a time. Calls that arrive meanwhile go into the
        /// next batch.
        bool isBusy = false;
        int triesLeft = 0;
        bool isWriteUncertain = false;
        std::vector<PendingClaim> batch;
        std::map<RequestId, StateUpdate> batchUpdates;

        std::optional<Backoff> backoff;
        TimerId updateTimer = 0;
    };

    void startBatch(std::uint32_t shard);
    void readOrWrite(std::uint32_t shard);
    void finishRead(std::uint32_t shard, const absl::StatusOr<StoredObject> &object);
    void write(std::uint32_t shard);
    void finishWrite(std::uint32_t shard, const Claims &written, const absl::StatusOr<std::uint64_t> &version);
    Claims withBatch(const CachedShard &cached) const;
    static std::optional<Claim> currentClaim(const CachedShard &cached, const RequestId &request);
    void answerLookups(CachedShard &cached);
    void succeed(std::uint32_t shard);
    void fail(std::uint32_t shard, const absl::Status &status);
    void startNextBatch(std::uint32_t shard);
    void scheduleUpdates(std::uint32_t shard, Duration delay);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    const ClaimStoreSettings m_settings;
    std::map<std::uint32_t, CachedShard> m_shards;
    LifetimeToken m_life;
};

}
