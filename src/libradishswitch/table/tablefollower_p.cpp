#include "table/tablefollower_p.h"

#include "base/failure.h"

#include <vector>

namespace RadishSwitch
{

namespace
{

/// Random part of a jittered span.
constexpr double kJitter = 0.5;

/// How many records a process keeps, so that peers that lag a little get a delta.
constexpr std::size_t kMaximumKeptRecords = 200;

void trimRecords(std::vector<AuditRecord> &records)
{
    if (records.size() > kMaximumKeptRecords) {
        records.erase(records.begin(), records.end() - kMaximumKeptRecords);
    }
}

}

HeldTablePointer HeldTable::of(TableDocument document)
{
    auto held = std::make_shared<HeldTable>();
    held->table = std::make_shared<const SteeringTable>(document.revision, document.rows);
    held->rowsDigest = digestOf(document.rows);
    held->document = std::move(document);
    return held;
}

TableFollower::Private::Private(ObjectStore &store, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                                TablePeerPort &peers, TableFollowerSettings settings)
    : m_store(store)
    , m_timers(timers)
    , m_tasks(tasks)
    , m_random(random)
    , m_peers(peers)
    , m_settings(settings)
    , m_held(HeldTable::of({}))
    , m_retryDelay(settings.firstRetryDelay)
{
}

void TableFollower::Private::start()
{
    const std::lock_guard lock(m_mutex);
    if (m_isRunning) {
        return;
    }
    m_isRunning = true;
    m_askStoreAfter = m_timers.now() + jittered(m_settings.startGrace);
    m_tickTimer = m_timers.every(m_settings.startGrace / 2, [self = weak_from_this()] {
        if (const auto d = self.lock()) {
            d->onTick();
        }
    });
    if (m_isWatching) {
        list();
    }
}

void TableFollower::Private::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isRunning = false;
    endStep();
    m_timers.cancel(m_tickTimer);
    m_timers.cancel(m_pullTimer);
    m_isPulling = false;
    ++m_pull;
    m_subscribers.clear();
}

void TableFollower::Private::setWatching(bool watching)
{
    const std::lock_guard lock(m_mutex);
    m_isWatching = watching;
    if (m_isRunning && watching && !m_isStepping) {
        list();
    }
}

HeldTablePointer TableFollower::Private::held() const
{
    const std::lock_guard lock(m_mutex);
    return m_held;
}

TableFollowerStatus TableFollower::Private::status() const
{
    const std::lock_guard lock(m_mutex);
    TableFollowerStatus status = m_status;
    status.revision = m_held->document.revision;
    status.isAskingStore = m_isStepping;
    return status;
}

Duration TableFollower::Private::jittered(Duration span)
{
    const double factor = 1 - kJitter / 2 + kJitter * m_random.fraction();
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

/// Every table comes in through here. A stale read, an answer of a watch that was given up, a peer that lags and a
/// store that answers from the past all bring an older table; taking one would revert an accepted change. Revisions
/// are given out by conditional writes of one object, so the higher one is the later one, whoever brings it.
void TableFollower::Private::install(HeldTablePointer newer, Source source, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    (source == Source::Store ? m_status.bytesFromStore : m_status.bytesFromPeers) += bytes;
    if (newer->document.revision <= m_held->document.revision) {
        ++m_status.staleIgnored;
        return;
    }
    ++(source == Source::Store ? m_status.takenFromStore : m_status.takenFromPeers);
    m_held = std::move(newer);
    for (const auto &[id, subscriber] : m_subscribers) {
        postDelivery(id);
    }
}

TableFollower::SubscriptionId TableFollower::Private::subscribe(Callback callback)
{
    const std::lock_guard lock(m_mutex);
    const SubscriptionId id = ++m_lastSubscription;
    m_subscribers[id].callback = std::move(callback);
    postDelivery(id);
    return id;
}

void TableFollower::Private::unsubscribe(SubscriptionId id)
{
    const std::lock_guard lock(m_mutex);
    m_subscribers.erase(id);
}

void TableFollower::Private::postDelivery(SubscriptionId id)
{
    m_tasks.post([self = weak_from_this(), id] {
        if (const auto d = self.lock()) {
            d->deliver(id);
        }
    });
}

/// Two workers may run deliveries of one subscriber at once; the second leaves its table to the first, since otherwise
/// the subscriber could see the older table last.
void TableFollower::Private::deliver(SubscriptionId id)
{
    std::unique_lock lock(m_mutex);
    auto it = m_subscribers.find(id);
    while (it != m_subscribers.end() && !it->second.isBusy && it->second.delivered < m_held->document.revision) {
        it->second.isBusy = true;
        it->second.delivered = m_held->document.revision;
        const SteeringTablePointer table = m_held->table;
        const Callback callback = it->second.callback;
        lock.unlock();
        callback(table);
        lock.lock();
        it = m_subscribers.find(id);
        if (it != m_subscribers.end()) {
            it->second.isBusy = false;
        }
    }
}

absl::Status TableFollower::Private::offer(std::uint64_t revision, const std::string &bytes)
{
    if (bytes.empty() || revision <= held()->document.revision) {
        return absl::OkStatus();
    }
    if (TableDelta::isDelta(bytes)) {
        return takeDelta(bytes);
    }
    absl::StatusOr<TableDocument> document = TableDocument::decode(bytes);
    if (!document.ok()) {
        const std::lock_guard lock(m_mutex);
        ++m_status.malformedIgnored;
        return document.status();
    }
    install(HeldTable::of(*std::move(document)), Source::Peer, bytes.size());
    return absl::OkStatus();
}

absl::Status TableFollower::Private::takeDelta(const std::string &bytes)
{
    const absl::StatusOr<TableDelta> delta = TableDelta::decode(bytes);
    if (!delta.ok()) {
        const std::lock_guard lock(m_mutex);
        ++m_status.malformedIgnored;
        return delta.status();
    }
    const HeldTablePointer base = held();
    if (delta->fromRevision != base->document.revision) {
        return makeFailure(FailureCode::VersionConflict, "a delta begins at another revision");
    }
    TableDocument document = base->document;
    for (const AuditRecord &record : delta->records) {
        const absl::Status status = applyRowChanges(document.rows, record.changes, record.revision);
        if (!status.ok()) {
            const std::lock_guard lock(m_mutex);
            m_needsWhole = true;
            return makeFailure(FailureCode::VersionConflict, std::string(status.message()));
        }
        document.recent.push_back(record);
    }
    document.revision = delta->revision;
    document.newestArchive = delta->newestArchive;
    trimRecords(document.recent);
    HeldTablePointer newer = HeldTable::of(std::move(document));
    // A peer of another version may read a cell in another way. Two processes would then differ at one revision for
    // ever, and no later delta would show it; the digest does, and the whole document mends it.
    if (newer->rowsDigest != delta->rowsDigest) {
        const std::lock_guard lock(m_mutex);
        m_needsWhole = true;
        return makeFailure(FailureCode::VersionConflict, "a delta leads to other rows than its sender's");
    }
    install(std::move(newer), Source::Peer, bytes.size());
    return absl::OkStatus();
}

}
