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

struct ClaimBookSettings {
    /// How long a claim is kept, by the wall clock: hours against clocks that differ by seconds.
    std::chrono::milliseconds expiry = std::chrono::hours(24);
    /// Claims of one shard; more are refused, since the object must stay under a megabyte.
    std::size_t maximum = 4000;
    /// How long ends of requests gather before they are written without a claim to ride on.
    Duration noteDelay = std::chrono::seconds(1);
    Duration firstBackoff = std::chrono::milliseconds(200);
    Duration lastBackoff = std::chrono::seconds(30);
    std::chrono::milliseconds retryAfter{2000};
};

/// The claims on non-idempotent requests, in the objects `claims/NNNN` of the store, one a key shard.
///
/// A request is claimed by conditional write before it is sent anywhere, so of two homes that both believe to own the
/// shard one finds the other's claim. Claims that come together are written together.
class ClaimBook
{
public:
    using FindCallback = std::function<void(absl::StatusOr<std::optional<Claim>>)>;
    using ClaimCallback = std::function<void(absl::StatusOr<Claim>)>;

    ClaimBook(ObjectStore &store, TimerService &timers, RandomSource &random, ClaimBookSettings settings);
    ~ClaimBook();

    ClaimBook(const ClaimBook &) = delete;
    ClaimBook &operator=(const ClaimBook &) = delete;

    /// The claim on a request, if there is one; in place or later. What it says of an unclaimed request may be out of
    /// date, which `claim` then finds out. Errors: StoreUnavailable, StoreTimeout, ObjectMalformed.
    void find(std::uint32_t shard, const RequestId &request, FindCallback callback);

    /// Claims a request unless it is claimed, and gives the claim that stands: the caller's own, by its attempt, or
    /// an earlier one. Errors as above, and Overloaded when the shard's object is full. After an error the caller
    /// must not run the request; a claim whose write may have taken effect all the same is undone later.
    void claim(std::uint32_t shard, Claim claim, ClaimCallback callback);

    /// Notes how a claimed request ended. Written with the next claims or after a while, and tried again until the
    /// store has it; until then the claim stands, which is safe.
    void note(std::uint32_t shard, const RequestId &request, const AttemptId &attempt, ClaimState state);

    /// Drops what was read of a shard that went to another owner. Notes are kept until they are written.
    void forget(std::uint32_t shard);

    /// Whether notes are not in the store yet.
    bool hasUnwrittenNotes() const;

    static std::string objectKey(std::uint32_t shard);

private:
    struct Find {
        RequestId request;
        FindCallback callback;
    };

    struct PendingClaim {
        Claim claim;
        ClaimCallback callback;
    };

    struct Note {
        AttemptId attempt;
        ClaimState state = ClaimState::Claimed;

        bool operator==(const Note &) const = default;
    };

    using Claims = std::map<RequestId, Claim>;

    struct Book {
        bool isLoaded = false;
        std::uint64_t version = 0;
        Claims claims;

        std::vector<Find> finds;
        std::vector<PendingClaim> pending;
        std::map<RequestId, Note> notes;

        /// One read or write at a time; what comes meanwhile is for the next round.
        bool isBusy = false;
        int triesLeft = 0;
        bool isWriteUncertain = false;
        std::vector<PendingClaim> round;
        std::map<RequestId, Note> roundNotes;

        std::optional<Backoff> backoff;
        TimerId noteTimer = 0;
    };

    void startRound(std::uint32_t shard);
    void proceed(std::uint32_t shard);
    void finishRead(std::uint32_t shard, const absl::StatusOr<StoredObject> &object);
    void write(std::uint32_t shard);
    void finishWrite(std::uint32_t shard, const Claims &written, const absl::StatusOr<std::uint64_t> &version);
    Claims withRound(const Book &book) const;
    static std::optional<Claim> standingClaim(const Book &book, const RequestId &request);
    void answerFinds(Book &book);
    void succeed(std::uint32_t shard);
    void fail(std::uint32_t shard, const absl::Status &status);
    void startNextRound(std::uint32_t shard);
    void scheduleNotes(std::uint32_t shard, Duration delay);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    const ClaimBookSettings m_settings;
    std::map<std::uint32_t, Book> m_books;
    LifetimeToken m_life;
};

}
