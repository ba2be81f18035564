#include "requests/keyownership.h"

#include "base/failure.h"

#include <absl/strings/numbers.h>
#include <xxhash.h>

#include <cstdio>
#include <memory>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// A conditional write that failed because of another write is retried after a new read. More conflicts than this mean
/// that many entries compete for the shard.
constexpr int kAcquireTries = 4;

constexpr char kPrefix[] = "keyowners/";

std::optional<std::uint32_t> shardOfKey(const std::string &key)
{
    std::uint32_t shard = 0;
    if (!absl::SimpleAtoi(key.substr(std::string(kPrefix).size()), &shard)) {
        return std::nullopt;
    }
    return shard;
}

}

KeyOwnership::KeyOwnership(ObjectStore &store, TimerService &timers, RandomSource &random,
                           const EntryDirectory &entries, KeyOwner self, KeyOwnershipSettings settings,
                           LostCallback lost)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_entries(entries)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_lost(std::move(lost))
    , m_backoff(settings.firstBackoff, settings.lastBackoff)
{
    m_checkTimer = m_timers.every(m_settings.checkInterval, m_life.guard([this] {
        checkOwned();
        replaceSilentWatch();
    }));
    if (m_settings.isWatching) {
        listAll();
    }
}

KeyOwnership::~KeyOwnership()
{
    m_timers.cancel(m_checkTimer);
    m_timers.cancel(m_listTimer);
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
    const auto it = m_knownOwners.find(shard);
    if (m_isHandedOver || it == m_knownOwners.end() || !isSelf(it->second.owner)) {
        return std::nullopt;
    }
    return it->second.owner.epoch;
}

std::optional<KeyOwner> KeyOwnership::ownerOf(std::uint32_t shard) const
{
    const auto it = m_knownOwners.find(shard);
    if (it == m_knownOwners.end()) {
        return std::nullopt;
    }
    return it->second.owner;
}

bool KeyOwnership::isTakenByOther(const KeyOwner &owner) const
{
    return !owner.incarnation.isEmpty() && !isSelf(owner)
        && m_entries.livenessOf(owner.incarnation, owner.region, owner.address) != EntryLiveness::Dead;
}

void KeyOwnership::acquire(std::uint32_t shard, AcquireCallback callback)
{
    const std::optional<KeyOwner> known = ownerOf(shard);
    if (m_settings.isWatching && known && isTakenByOther(*known)) {
        if (!m_listedAt || m_timers.now() - *m_listedAt > m_settings.listLifetime) {
            listAll();
        }
        return callback(refusalFor(*known));
    }
    readForAcquire({shard, kAcquireTries, std::move(callback)});
}

void KeyOwnership::readForAcquire(Acquisition acquisition)
{
    const std::string key = objectKey(acquisition.shard);
    m_store.get(key, m_life.guard([this, acquisition = std::move(acquisition)](const auto &object) {
        tryTakeOver(acquisition, object);
    }));
}

void KeyOwnership::tryTakeOver(Acquisition acquisition, const absl::StatusOr<StoredObject> &object)
{
    const bool isMissing = !object.ok() && failureCode(object.status()) == FailureCode::ObjectMissing;
    if (isMissing) {
        return writeSelf(std::move(acquisition), 0, 0);
    }
    const auto owner = updateOwner(acquisition.shard, object);
    if (!owner.ok()) {
        return acquisition.callback(withUnknownOutcome(owner.status()));
    }
    // This also detects a write that took effect although its answer was lost: nobody else writes this incarnation.
    if (isSelf(*owner)) {
        return acquisition.callback(*owner);
    }
    if (isTakenByOther(*owner) || m_isHandedOver) {
        return acquisition.callback(refusalFor(*owner));
    }
    writeSelf(std::move(acquisition), owner->epoch, object->version);
}

absl::Status KeyOwnership::refusalFor(const KeyOwner &owner) const
{
    if (m_entries.livenessOf(owner.incarnation, owner.region, owner.address) == EntryLiveness::Unreachable) {
        return withUnknownOutcome(makeFailure(FailureCode::OutcomeUnknown,
                                              "the owner of the key's shard cannot be reached", m_settings.retryAfter));
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
            m_knownOwners[acquisition.shard] = {owner, *written};
            return acquisition.callback(owner);
        }
        if (failureCode(written.status()) == FailureCode::StoreUnavailable) {
            return acquisition.callback(withUnknownOutcome(written.status()));
        }
        readForAcquire(acquisition);
    };
    m_store.put(key, encodeKeyOwner(owner), version, m_life.guard(done));
}

absl::StatusOr<KeyOwner> KeyOwnership::updateOwner(std::uint32_t shard, const absl::StatusOr<StoredObject> &object)
{
    if (!object.ok()) {
        return object.status();
    }
    const auto owner = decodeKeyOwner(object->value);
    if (!owner.ok()) {
        return owner;
    }
    KnownOwner &known = m_knownOwners[shard];
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
    const auto owner = updateOwner(shard, object);
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
    for (const auto &[shard, known] : m_knownOwners) {
        if (isSelf(known.owner)) {
            confirm(shard, [](const absl::Status &) {});
        }
    }
}

void KeyOwnership::listAll()
{
    if (m_isListing) {
        return;
    }
    m_isListing = true;
    m_timers.cancel(m_listTimer);
    m_store.list(kPrefix, m_life.guard([this](const auto &changes) {
        finishListing(changes);
    }));
}

void KeyOwnership::finishListing(const absl::StatusOr<StoreChanges> &changes)
{
    m_isListing = false;
    m_listedAt = m_timers.now();
    if (!changes.ok()) {
        return retryListingLater();
    }
    m_backoff = Backoff(m_settings.firstBackoff, m_settings.lastBackoff);
    updateOwners(changes->objects);
    if (!m_isWatchOpen) {
        watch(changes->nextVersion);
    }
}

void KeyOwnership::watch(std::uint64_t fromVersion)
{
    m_isWatchOpen = true;
    const auto handleChanges = [this, number = ++m_watchNumber](const absl::StatusOr<StoreChanges> &changes) {
        if (number != m_watchNumber) {
            return;
        }
        m_isWatchOpen = false;
        if (!changes.ok()) {
            return retryListingLater();
        }
        m_listedAt = m_timers.now();
        updateOwners(changes->objects);
        watch(changes->nextVersion);
    };
    m_store.watch(kPrefix, fromVersion, m_life.guard(handleChanges));
}

/// A watch can stop delivering changes for good while new calls still work. This costs only time, because a change of
/// owner would then be learned only when a request is refused.
void KeyOwnership::replaceSilentWatch()
{
    const bool isSilent = m_listedAt && m_timers.now() - *m_listedAt > m_settings.checkInterval * 2;
    if (m_settings.isWatching && isSilent) {
        ++m_watchNumber;
        m_isWatchOpen = false;
        listAll();
    }
}

void KeyOwnership::retryListingLater()
{
    m_timers.cancel(m_listTimer);
    m_listTimer = m_timers.after(m_backoff.next(m_random), m_life.guard([this] {
        listAll();
    }));
}

void KeyOwnership::updateOwners(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        const auto shard = shardOfKey(object.key);
        if (shard && object.version > 0) {
            (void)updateOwner(*shard, object);
        }
    }
}

void KeyOwnership::handOver(std::function<void()> callback)
{
    m_isHandedOver = true;
    std::vector<std::uint32_t> shards;
    for (const auto &[shard, known] : m_knownOwners) {
        if (isSelf(known.owner)) {
            shards.push_back(shard);
        }
    }
    if (shards.empty()) {
        return callback();
    }
    const auto remaining = std::make_shared<std::size_t>(shards.size());
    for (const std::uint32_t shard : shards) {
        KnownOwner &known = m_knownOwners[shard];
        known.owner.incarnation = IncarnationId();
        m_store.put(objectKey(shard), encodeKeyOwner(known.owner), known.version, [remaining, callback](const auto &) {
            if (--*remaining == 0) {
                callback();
            }
        });
    }
}

}
