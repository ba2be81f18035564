#include "requests/claimstore.h"

#include "base/failure.h"

#include <cstdio>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// A conflicting write comes from another home that believes it owns the shard. One of the two soon learns that it does
/// not, so conflicts do not go on.
constexpr int kWriteTries = 5;

}

ClaimStore::ClaimStore(ObjectStore &store, TimerService &timers, RandomSource &random, ClaimStoreSettings settings)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_settings(settings)
{
}

ClaimStore::~ClaimStore()
{
    for (const auto &[shard, cached] : m_shards) {
        m_timers.cancel(cached.updateTimer);
    }
}

std::string ClaimStore::objectKey(std::uint32_t shard)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "claims/%04u", shard);
    return buf;
}

void ClaimStore::find(std::uint32_t shard, const RequestId &request, FindCallback callback)
{
    CachedShard &cached = m_shards[shard];
    const std::optional<Claim> claim = currentClaim(cached, request);
    const bool isClaimed = claim && claim->state == ClaimState::Claimed;
    if (cached.isLoaded && !isClaimed) {
        return callback(claim);
    }
    // The object is read again: the state in which a claim of an earlier owner ended may have been written since the
    // last read.
    cached.lookups.push_back({request, std::move(callback)});
    startBatch(shard);
}

void ClaimStore::claim(std::uint32_t shard, Claim claim, ClaimCallback callback)
{
    claim.wallTime = m_timers.wallClockMilliseconds();
    m_shards[shard].pending.push_back({std::move(claim), std::move(callback)});
    startBatch(shard);
}

void ClaimStore::setState(std::uint32_t shard, const RequestId &request, const AttemptId &attempt, ClaimState state)
{
    m_shards[shard].updates[request] = {attempt, state};
    scheduleUpdates(shard, m_settings.updateDelay);
}

bool ClaimStore::hasUnwrittenUpdates() const
{
    for (const auto &[shard, cached] : m_shards) {
        if (!cached.updates.empty() || !cached.batchUpdates.empty()) {
            return true;
        }
    }
    return false;
}

void ClaimStore::scheduleUpdates(std::uint32_t shard, Duration delay)
{
    CachedShard &cached = m_shards[shard];
    if (cached.updateTimer != 0) {
        return;
    }
    cached.updateTimer = m_timers.after(delay, m_life.guard([this, shard] {
        m_shards[shard].updateTimer = 0;
        startBatch(shard);
    }));
}

void ClaimStore::startBatch(std::uint32_t shard)
{
    CachedShard &cached = m_shards[shard];
    if (cached.isBusy || (cached.lookups.empty() && cached.pending.empty() && cached.updates.empty())) {
        return;
    }
    cached.isBusy = true;
    cached.triesLeft = kWriteTries;
    cached.isWriteUncertain = false;
    cached.isLoaded = cached.isLoaded && cached.lookups.empty();
    cached.batch = std::exchange(cached.pending, {});
    cached.batchUpdates = std::exchange(cached.updates, {});
    readOrWrite(shard);
}

void ClaimStore::readOrWrite(std::uint32_t shard)
{
    if (m_shards[shard].isLoaded) {
        return write(shard);
    }
    m_store.get(objectKey(shard), m_life.guard([this, shard](const auto &object) {
        finishRead(shard, object);
    }));
}

void ClaimStore::finishRead(std::uint32_t shard, const absl::StatusOr<StoredObject> &object)
{
    CachedShard &cached = m_shards[shard];
    const bool isMissing = !object.ok() && failureCode(object.status()) == FailureCode::ObjectMissing;
    if (!object.ok() && !isMissing) {
        return fail(shard, object.status());
    }
    const auto claims = isMissing ? std::vector<Claim>() : decodeClaims(object->value);
    if (!claims.ok()) {
        return fail(shard, claims.status());
    }
    cached.claims.clear();
    for (const Claim &claim : *claims) {
        cached.claims[claim.request] = claim;
    }
    cached.version = isMissing ? 0 : object->version;
    cached.isLoaded = true;
    write(shard);
}

ClaimStore::Claims ClaimStore::withBatch(const CachedShard &cached) const
{
    Claims next = cached.claims;
    const std::int64_t oldest = m_timers.wallClockMilliseconds() - m_settings.expiry.count();
    std::erase_if(next, [oldest](const auto &item) {
        return item.second.wallTime < oldest;
    });
    for (const auto &[request, update] : cached.batchUpdates) {
        const auto it = next.find(request);
        if (it != next.end() && it->second.attempt == update.attempt) {
            it->second.state = update.state;
        }
    }
    for (const PendingClaim &pending : cached.batch) {
        const auto it = next.find(pending.claim.request);
        if (it != next.end() && it->second.state == ClaimState::NotRun) {
            it->second = pending.claim;
        } else if (it == next.end() && next.size() < m_settings.maximum) {
            next.emplace(pending.claim.request, pending.claim);
        }
    }
    return next;
}

void ClaimStore::write(std::uint32_t shard)
{
    CachedShard &cached = m_shards[shard];
    answerLookups(cached);
    Claims next = withBatch(cached);
    const bool hasChanges = !cached.batch.empty() || !cached.batchUpdates.empty();
    if (!hasChanges || next == cached.claims) {
        return succeed(shard);
    }
    std::vector<Claim> list;
    for (const auto &[request, claim] : next) {
        list.push_back(claim);
    }
    m_store.put(objectKey(shard), encodeClaims(list), cached.version,
                m_life.guard([this, shard, next = std::move(next)](const auto &version) {
                    finishWrite(shard, next, version);
                }));
}

void ClaimStore::finishWrite(std::uint32_t shard, const Claims &written, const absl::StatusOr<std::uint64_t> &version)
{
    CachedShard &cached = m_shards[shard];
    if (version.ok()) {
        cached.claims = written;
        cached.version = *version;
        return succeed(shard);
    }
    cached.isLoaded = false;
    const FailureCode code = failureCode(version.status());
    if (code == FailureCode::StoreTimeout) {
        cached.isWriteUncertain = true;
    }
    const bool isRetryable = code == FailureCode::StoreTimeout || code == FailureCode::VersionConflict;
    if (!isRetryable || --cached.triesLeft == 0) {
        return fail(shard, version.status());
    }
    // Reading the object again tells a write whose answer was lost from a lost conflict: this home recognises its own
    // claims by their attempts.
    readOrWrite(shard);
}

void ClaimStore::answerLookups(CachedShard &cached)
{
    for (const Lookup &lookup : std::exchange(cached.lookups, {})) {
        lookup.callback(currentClaim(cached, lookup.request));
    }
}

/// The claim as it is in the store, with the state updates that this home has not written yet.
std::optional<Claim> ClaimStore::currentClaim(const CachedShard &cached, const RequestId &request)
{
    const auto it = cached.claims.find(request);
    if (it == cached.claims.end()) {
        return std::nullopt;
    }
    Claim claim = it->second;
    for (const auto *updates : {&cached.batchUpdates, &cached.updates}) {
        const auto update = updates->find(request);
        if (update != updates->end() && update->second.attempt == claim.attempt) {
            claim.state = update->second.state;
        }
    }
    return claim;
}

void ClaimStore::succeed(std::uint32_t shard)
{
    CachedShard &cached = m_shards[shard];
    cached.isBusy = false;
    cached.backoff.reset();
    cached.batchUpdates.clear();
    const auto batch = std::exchange(cached.batch, {});
    for (const PendingClaim &pending : batch) {
        const auto it = cached.claims.find(pending.claim.request);
        if (it == cached.claims.end()) {
            pending.callback(
                makeFailure(FailureCode::Overloaded, "too many claims in the key shard", m_settings.retryAfter));
            continue;
        }
        pending.callback(it->second);
    }
    startNextBatch(shard);
}

void ClaimStore::fail(std::uint32_t shard, const absl::Status &status)
{
    CachedShard &cached = m_shards[shard];
    cached.isBusy = false;
    // merge() keeps an update that was made after the failed batch had begun, because it is newer.
    cached.updates.merge(std::exchange(cached.batchUpdates, {}));
    const auto batch = std::exchange(cached.batch, {});
    const auto lookups = std::exchange(cached.lookups, {});
    for (const PendingClaim &pending : batch) {
        if (cached.isWriteUncertain) {
            cached.updates[pending.claim.request] = {pending.claim.attempt, ClaimState::NotRun};
        }
    }
    if (!cached.updates.empty()) {
        if (!cached.backoff) {
            cached.backoff.emplace(m_settings.firstBackoff, m_settings.lastBackoff);
        }
        scheduleUpdates(shard, cached.backoff->next(m_random));
    }
    for (const Lookup &lookup : lookups) {
        lookup.callback(status);
    }
    for (const PendingClaim &pending : batch) {
        pending.callback(status);
    }
    startNextBatch(shard);
}

void ClaimStore::startNextBatch(std::uint32_t shard)
{
    CachedShard &cached = m_shards[shard];
    if (!cached.updates.empty()) {
        scheduleUpdates(shard, m_settings.updateDelay);
    }
    if (!cached.lookups.empty() || !cached.pending.empty()) {
        startBatch(shard);
    }
}

void ClaimStore::forget(std::uint32_t shard)
{
    CachedShard &cached = m_shards[shard];
    if (!cached.isBusy) {
        cached.isLoaded = false;
        cached.claims.clear();
    }
}

}
