#include "table/tablefollower_p.h"

#include <algorithm>
#include <utility>

// The follower's exchange with the store: list once, then watch, and list again now and then.

namespace RadishSwitch
{

namespace
{

/// A watch that answers sooner than this and brings nothing is followed by a pause, lest a store that answers at once
/// with old news be asked without end.
constexpr Duration kBusyWatch = std::chrono::milliseconds(50);

}

bool TableFollower::Private::shouldAskStore() const
{
    return m_isRunning && (m_isWatching || m_timers.now() >= m_askStoreAfter);
}

void TableFollower::Private::onTick()
{
    const std::lock_guard lock(m_mutex);
    if (!m_isStepping && shouldAskStore()) {
        list();
    }
}

void TableFollower::Private::beginStep(Duration deadline, void (Private::*onDeadline)())
{
    endStep();
    m_isStepping = true;
    m_stepBegan = m_timers.now();
    m_stepTimer = m_timers.after(deadline, [self = weak_from_this(), step = m_step, onDeadline] {
        const auto d = self.lock();
        if (!d) {
            return;
        }
        const std::lock_guard lock(d->m_mutex);
        if (d->m_step == step) {
            (d.get()->*onDeadline)();
        }
    });
}

void TableFollower::Private::endStep()
{
    ++m_step;
    m_isStepping = false;
    m_timers.cancel(m_stepTimer);
}

void TableFollower::Private::list()
{
    if (!shouldAskStore()) {
        endStep();
        return;
    }
    beginStep(m_settings.callDeadline, &Private::giveUpStep);
    ++m_status.storeCalls;
    m_store.list(kTableKey, [self = weak_from_this(), step = m_step](absl::StatusOr<StoreChanges> changes) {
        if (const auto d = self.lock()) {
            d->onListed(step, changes);
        }
    });
}

void TableFollower::Private::watch()
{
    if (!shouldAskStore()) {
        endStep();
        return;
    }
    // The connection under a watch can go silent for good while new ones work. Nothing then tells the watcher that it
    // waits in vain, so it never waits longer than its own deadline; the next call goes out anew.
    beginStep(watchDeadline(), &Private::watchOn);
    ++m_status.storeCalls;
    m_store.watch(kTableKey, m_watchFrom,
                  [self = weak_from_this(), step = m_step](absl::StatusOr<StoreChanges> changes) {
                      if (const auto d = self.lock()) {
                          d->onWatched(step, changes);
                      }
                  });
}

Duration TableFollower::Private::watchDeadline() const
{
    const Duration inProportion =
        m_settings.shortestWatchDeadline * static_cast<Duration::rep>(m_seenBytes / m_settings.smallTableBytes);
    return std::clamp(inProportion, m_settings.shortestWatchDeadline, m_settings.longestWatchDeadline);
}

void TableFollower::Private::watchOn()
{
    if (m_timers.now() >= m_nextList) {
        list();
    } else {
        watch();
    }
}

void TableFollower::Private::giveUpStep()
{
    m_status.isStoreAnswering = false;
    retryLater();
}

void TableFollower::Private::retryLater()
{
    const Duration delay = jittered(m_retryDelay);
    m_retryDelay = std::min(m_retryDelay * 2, m_settings.maximumRetryDelay);
    beginStep(delay, &Private::list);
}

void TableFollower::Private::takeFromStore(const StoreChanges &changes)
{
    for (const StoredObject &object : changes.objects) {
        // A removed table is no accepted change: the last one stays in force.
        if (object.key == kTableKey && object.version != 0 && noteObject(object)) {
            takeTable(object.value);
        }
    }
}

/// Whether the object is another than the one seen last; watches that were given up bring the same one again.
bool TableFollower::Private::noteObject(const StoredObject &object)
{
    const std::lock_guard lock(m_mutex);
    m_seenBytes = object.value.size();
    return std::exchange(m_seenVersion, object.version) != object.version;
}

void TableFollower::Private::takeTable(const std::string &bytes)
{
    absl::StatusOr<TableDocument> document = TableDocument::decode(bytes);
    if (document.ok()) {
        install(HeldTable::of(*std::move(document)), Source::Store, bytes.size());
        return;
    }
    const std::lock_guard lock(m_mutex);
    ++m_status.malformedIgnored;
}

void TableFollower::Private::onListed(std::uint64_t step, const absl::StatusOr<StoreChanges> &changes)
{
    if (changes.ok()) {
        takeFromStore(*changes);
    }
    const std::lock_guard lock(m_mutex);
    if (step != m_step) {
        return;
    }
    m_status.isStoreAnswering = changes.ok();
    if (!changes.ok()) {
        retryLater();
        return;
    }
    m_watchFrom = changes->nextVersion;
    m_nextList = m_timers.now() + jittered(m_settings.relistInterval);
    watch();
}

void TableFollower::Private::onWatched(std::uint64_t step, const absl::StatusOr<StoreChanges> &changes)
{
    const std::uint64_t before = held()->document.revision;
    if (changes.ok()) {
        takeFromStore(*changes);
    }
    const std::lock_guard lock(m_mutex);
    if (step != m_step) {
        return;
    }
    m_status.isStoreAnswering = changes.ok();
    const bool isBusy = m_timers.now() - m_stepBegan < kBusyWatch && m_held->document.revision == before;
    if (!changes.ok() || isBusy) {
        retryLater();
        return;
    }
    m_retryDelay = m_settings.firstRetryDelay;
    m_watchFrom = changes->nextVersion;
    watchOn();
}

}
