#include "keyownership.h"

#include "failure.h"

#include <xxhash.h>

#include <cstdio>
#include <memory>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// A conditional write that lost against another is tried again after a read; more often than this means a crowd.
constexpr int kAcquireTries = 4;

}

KeyOwnership::KeyOwnership(ObjectStore &store, TimerService &timers, const EntryDirectory &entries, KeyOwner self,
                           KeyOwnershipSettings settings, LostCallback lost)
    : m_store(store)
    , m_timers(timers)
    , m_entries(entries)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_lost(std::move(lost))
{
    m_checkTimer = m_timers.every(m_settings.checkInterval, m_life.guard([this] {
        checkOwned();
    }));
}

KeyOwnership::~KeyOwnership()
{
    m_timers.cancel(m_checkTimer);
}

std::string KeyOwnership::objectKey(std::uint32_t shard)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "keyowners/%04u", shard);
    return buf;
}

std::uint32_t KeyOwnership::shardOf(const BudgetId &budget) const
{
    const std::string name = budget.toString();
    return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0) % m_settings.shardCount);
}

bool KeyOwnership::isSelf(const KeyOwner &owner) const
{
    return owner.incarnation == m_self.incarnation;
}

std::optional<std::uint64_t> KeyOwnership::epochOf(std::uint32_t shard) const
{
    const auto it = m_known.find(shard);
    if (m_isHandedOver || it == m_known.end() || !isSelf(it->second.owner)) {
        return std::nullopt;
    }
    return it->second.owner.epoch;
}

std::optional<KeyOwner> KeyOwnership::ownerOf(std::uint32_t shard) const
{
    const auto it = m_known.find(shard);
    if (it == m_known.end()) {
        return std::nullopt;
    }
    return it->second.owner;
}

void KeyOwnership::acquire(std::uint32_t shard, AcquireCallback callback)
{
    readForAcquire({shard, kAcquireTries, std::move(callback)});
}

void KeyOwnership::readForAcquire(Acquisition acquisition)
{
    const std::string key = objectKey(acquisition.shard);
    m_store.get(key, m_life.guard([this, acquisition = std::move(acquisition)](const auto &object) {
        considerTaking(acquisition, object);
    }));
}

void KeyOwnership::considerTaking(Acquisition acquisition, const absl::StatusOr<StoredObject> &object)
{
    const bool isMissing = !object.ok() && failureCode(object.status()) == FailureCode::ObjectMissing;
    if (isMissing) {
        return writeSelf(std::move(acquisition), 0, 0);
    }
    const auto owner = learn(acquisition.shard, object);
    if (!owner.ok()) {
        return acquisition.callback(withUnknownOutcome(owner.status()));
    }
    // Also how a write whose answer was lost is found to have taken effect: nobody else writes this incarnation.
    if (isSelf(*owner)) {
        return acquisition.callback(*owner);
    }
    const bool isFree =
        owner->incarnation.isEmpty() || m_entries.livenessOf(owner->incarnation, owner->region) == EntryLiveness::Dead;
    if (!isFree || m_isHandedOver) {
        return acquisition.callback(refusalFor(*owner));
    }
    writeSelf(std::move(acquisition), owner->epoch, object->version);
}

absl::Status KeyOwnership::refusalFor(const KeyOwner &owner) const
{
    if (m_entries.livenessOf(owner.incarnation, owner.region) == EntryLiveness::Unreachable) {
        return withUnknownOutcome(makeFailure(FailureCode::OutcomeUnknown,
                                              "the owner of the key's shard cannot be asked", m_settings.retryAfter));
    }
    return withUnknownOutcome(makeFailure(FailureCode::HomeElsewhere, owner.address));
}

void KeyOwnership::writeSelf(Acquisition acquisition, std::uint64_t lastEpoch, std::uint64_t version)
{
    if (acquisition.triesLeft == 0) {
        return acquisition.callback(withUnknownOutcome(
            makeFailure(FailureCode::StoreTimeout, "the key shard's owner keeps changing", m_settings.retryAfter)));
    }
    --acquisition.triesLeft;
    KeyOwner owner = m_self;
    owner.epoch = lastEpoch + 1;
    const std::string key = objectKey(acquisition.shard);
    const auto done = [this, acquisition = std::move(acquisition), owner](const auto &written) {
        if (written.ok()) {
            m_known[acquisition.shard] = {owner, *written};
            return acquisition.callback(owner);
        }
        if (failureCode(written.status()) == FailureCode::StoreUnavailable) {
            return acquisition.callback(withUnknownOutcome(written.status()));
        }
        readForAcquire(acquisition);
    };
    m_store.put(key, encodeKeyOwner(owner), version, m_life.guard(done));
}

absl::StatusOr<KeyOwner> KeyOwnership::learn(std::uint32_t shard, const absl::StatusOr<StoredObject> &object)
{
    if (!object.ok()) {
        return object.status();
    }
    const auto owner = decodeKeyOwner(object->value);
    if (!owner.ok()) {
        return owner;
    }
    Known &known = m_known[shard];
    if (object->version < known.version) {
        return known.owner;
    }
    const bool wasSelf = isSelf(known.owner) && known.version != 0;
    known = {*owner, object->version};
    if (wasSelf && !isSelf(*owner)) {
        m_lost(shard);
    }
    return owner;
}

void KeyOwnership::confirm(std::uint32_t shard, ConfirmCallback callback)
{
    Confirmation &confirmation = m_confirmations[shard];
    confirmation.next.push_back(std::move(callback));
    if (!confirmation.isReading) {
        readForConfirm(shard);
    }
}

void KeyOwnership::readForConfirm(std::uint32_t shard)
{
    Confirmation &confirmation = m_confirmations[shard];
    confirmation.isReading = true;
    confirmation.current = std::exchange(confirmation.next, {});
    m_store.get(objectKey(shard), m_life.guard([this, shard](const auto &object) {
        finishConfirm(shard, object);
    }));
}

void KeyOwnership::finishConfirm(std::uint32_t shard, const absl::StatusOr<StoredObject> &object)
{
    const auto owner = learn(shard, object);
    const auto waiting = std::exchange(m_confirmations[shard].current, {});
    m_confirmations[shard].isReading = false;
    if (!m_confirmations[shard].next.empty()) {
        readForConfirm(shard);
    }
    absl::Status status = owner.status();
    if (owner.ok() && !isSelf(*owner)) {
        status = refusalFor(*owner);
    }
    for (const ConfirmCallback &callback : waiting) {
        callback(status);
    }
}

void KeyOwnership::noteStaleEpoch(std::uint32_t shard, std::uint64_t epoch)
{
    if (epochOf(shard) == epoch) {
        confirm(shard, [](const absl::Status &) {});
    }
}

void KeyOwnership::checkOwned()
{
    for (const auto &[shard, known] : m_known) {
        if (isSelf(known.owner)) {
            confirm(shard, [](const absl::Status &) {});
        }
    }
}

void KeyOwnership::handOver(std::function<void()> callback)
{
    m_isHandedOver = true;
    std::vector<std::uint32_t> shards;
    for (const auto &[shard, known] : m_known) {
        if (isSelf(known.owner)) {
            shards.push_back(shard);
        }
    }
    if (shards.empty()) {
        return callback();
    }
    const auto remaining = std::make_shared<std::size_t>(shards.size());
    for (const std::uint32_t shard : shards) {
        Known &known = m_known[shard];
        known.owner.incarnation = IncarnationId();
        m_store.put(objectKey(shard), encodeKeyOwner(known.owner), known.version, [remaining, callback](const auto &) {
            if (--*remaining == 0) {
                callback();
            }
        });
    }
}

}
