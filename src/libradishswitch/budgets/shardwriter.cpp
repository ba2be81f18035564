#include "budgets/shardwriter.h"

#include "base/failure.h"
#include "budgets/ledgerlayout.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Maximum number of doublings of the backoff; keeps the shift within range.
constexpr int kMaximumDoublings = 20;

}

ShardWriter::ShardWriter(std::uint32_t shard, const LedgerPorts &ports, const LedgerSettings &settings,
                         StoreStateCallback onStoreState, RoundCallback onRound)
    : m_key(ledgerShardKey(shard))
    , m_ports(ports)
    , m_settings(settings)
    , m_onStoreState(std::move(onStoreState))
    , m_onRound(std::move(onRound))
{
}

ShardWriter::~ShardWriter()
{
    m_ports.timers.cancel(m_timer);
}

void ShardWriter::submit(std::shared_ptr<LedgerChange> change, Urgency urgency, Callback callback)
{
    m_queue.push_back({std::move(change), std::move(callback), absl::OkStatus()});
    if (!m_isRunning) {
        schedule(delayOf(urgency));
    }
}

void ShardWriter::expedite()
{
    if (!m_isRunning && !m_queue.empty()) {
        schedule(m_settings.urgentDelay);
    }
}

Duration ShardWriter::delayOf(Urgency urgency) const
{
    switch (urgency) {
    case Urgency::Urgent:
        return m_settings.urgentDelay;
    case Urgency::Soon:
        return m_settings.soonDelay;
    case Urgency::Relaxed:
        break;
    }
    return m_settings.relaxedDelay;
}

bool ShardWriter::isStoreUnavailable() const
{
    return m_isUnavailable;
}

bool ShardWriter::isIdle() const
{
    return m_queue.empty() && m_batch.empty();
}

void ShardWriter::schedule(Duration delay)
{
    const Instant dueAt = m_ports.timers.now() + delay;
    if (m_timer != 0 && m_dueAt <= dueAt) {
        return;
    }
    m_ports.timers.cancel(m_timer);
    m_dueAt = dueAt;
    m_timer = m_ports.timers.after(delay, [this] {
        m_timer = 0;
        begin();
    });
}

void ShardWriter::begin()
{
    m_isRunning = true;
    m_onRound();
    m_ports.calls.acquire([this, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired()) {
            m_cached ? applyToCached() : read();
        }
    });
}

void ShardWriter::applyToCached()
{
    // The cached shard is removed for this round; only a successful write or read puts it back.
    LedgerShard shard = *std::exchange(m_cached, std::nullopt);
    shard.clearModified();
    m_isFromCache = true;
    applyBatch(m_cachedVersion, std::move(shard));
}

bool ShardWriter::hasFailures() const
{
    return std::ranges::any_of(m_batch, [](const Pending &it) {
        return !it.status.ok();
    });
}

void ShardWriter::read()
{
    m_ports.store.get(m_key, guarded<absl::StatusOr<StoredObject>>(&ShardWriter::handleRead));
}

void ShardWriter::handleRead(const absl::StatusOr<StoredObject> &object)
{
    if (object.ok()) {
        noteStoreReachable();
        absl::StatusOr<LedgerShard> shard = LedgerShard::fromJson(object->value);
        if (!shard.ok()) {
            return failBatch(shard.status());
        }
        return applyBatch(object->version, *std::move(shard));
    }
    if (failureCode(object.status()) == FailureCode::ObjectMissing) {
        noteStoreReachable();
        return applyBatch(0, LedgerShard());
    }
    retryAfterFailure();
}

void ShardWriter::applyBatch(std::uint64_t version, LedgerShard shard)
{
    takeQueued();
    for (Pending &it : m_batch) {
        it.status = it.change->apply(shard);
    }
    if (std::exchange(m_isFromCache, false) && (!shard.isModified() || hasFailures())) {
        // The cached shard may be outdated, since other processes may have written the object. Only a conditional write
        // can confirm it, so a result without a write needs a fresh read.
        return read();
    }
    if (!shard.isModified()) {
        cacheShard(version, std::move(shard));
        return finish();
    }
    std::string value = shard.toJson();
    m_written = std::move(shard);
    if (value.size() > m_settings.objectLimit) {
        return handleTooLarge();
    }
    m_ports.calls.acquire([this, alive = std::weak_ptr<int>(m_alive), version, value = std::move(value)]() mutable {
        if (!alive.expired()) {
            write(version, std::move(value));
        }
    });
}

void ShardWriter::takeQueued()
{
    const std::size_t room = !m_isOneByOne ? m_queue.size() : m_batch.empty() ? 1 : 0;
    const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(std::min(room, m_queue.size()));
    m_batch.insert(m_batch.end(), std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end));
    m_queue.erase(m_queue.begin(), end);
}

void ShardWriter::write(std::uint64_t version, std::string value)
{
    m_ports.store.put(m_key, std::move(value), version,
                      guarded<absl::StatusOr<std::uint64_t>>(&ShardWriter::handleWritten));
}

void ShardWriter::handleWritten(const absl::StatusOr<std::uint64_t> &version)
{
    if (version.ok()) {
        noteStoreReachable();
        cacheShard(*version, std::move(m_written));
        return finish();
    }
    switch (failureCode(version.status())) {
    case FailureCode::VersionConflict:
        return retryAfterConflict();
    case FailureCode::ObjectTooLarge:
        return handleTooLarge();
    case FailureCode::StoreTimeout:
        // The write may have taken effect. The next round reads the object again before it writes.
        return retryAfterConflict();
    default:
        return retryAfterFailure();
    }
}

void ShardWriter::cacheShard(std::uint64_t version, LedgerShard shard)
{
    // When other processes also write the shard, a round that starts from the cached shard usually costs a rejected
    // write.
    if (m_settings.cachesShards && version != 0 && m_conflicts == 0) {
        m_cached = std::move(shard);
        m_cachedVersion = version;
    }
}

void ShardWriter::handleTooLarge()
{
    if (m_batch.size() > 1) {
        // A change that does not fit must not block the changes that make the object smaller, so the changes are
        // written one by one.
        m_queue.insert(m_queue.begin(), std::make_move_iterator(m_batch.begin()),
                       std::make_move_iterator(m_batch.end()));
        m_batch.clear();
        m_isOneByOne = true;
        return begin();
    }
    failBatch(makeFailure(FailureCode::ObjectTooLarge, m_key + " is full"));
}

void ShardWriter::retryAfterConflict()
{
    ++m_conflicts;
    if (m_conflicts == 1) {
        return begin();
    }
    schedule(drawBackoff());
}

void ShardWriter::retryAfterFailure()
{
    ++m_failures;
    if (m_failures >= m_settings.failuresUntilUnavailable) {
        setUnavailable(true);
    }
    schedule(drawBackoff());
}

void ShardWriter::noteStoreReachable()
{
    m_failures = 0;
    setUnavailable(false);
}

void ShardWriter::setUnavailable(bool isUnavailable)
{
    if (m_isUnavailable != isUnavailable) {
        m_isUnavailable = isUnavailable;
        m_onStoreState(isUnavailable);
    }
}

Duration ShardWriter::drawBackoff()
{
    const int doublings = std::min(std::max(m_failures, m_conflicts) - 1, kMaximumDoublings);
    const Duration whole = std::min(m_settings.longestBackoff, m_settings.firstBackoff * (1 << std::max(doublings, 0)));
    // Jitter keeps shards and processes that failed together from retrying together.
    return whole / 2 + Duration(static_cast<Duration::rep>(m_ports.random.below(whole.count() / 2 + 1)));
}

void ShardWriter::finish()
{
    std::vector<Pending> done = std::exchange(m_batch, {});
    m_conflicts = 0;
    m_isRunning = false;
    m_isOneByOne = m_isOneByOne && !m_queue.empty();
    if (!m_queue.empty()) {
        schedule(m_isOneByOne ? Duration::zero() : m_settings.urgentDelay);
    }
    const std::weak_ptr<int> alive = m_alive;
    for (Pending &it : done) {
        if (alive.expired()) {
            return;
        }
        it.callback(it.status);
    }
}

void ShardWriter::failBatch(const absl::Status &status)
{
    if (m_batch.empty()) {
        m_batch = std::exchange(m_queue, {});
    }
    for (Pending &it : m_batch) {
        it.status = status;
    }
    finish();
}

template<typename T>
std::function<void(T)> ShardWriter::guarded(void (ShardWriter::*handler)(const T &))
{
    return [this, alive = std::weak_ptr<int>(m_alive), handler](const T &answer) {
        if (!alive.expired()) {
            (this->*handler)(answer);
        }
    };
}

}
