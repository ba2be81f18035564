#include "serving/objectfollower.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Bound on the doublings of the backoff, which reaches its longest long before.
constexpr int kMaxDoublings = 16;

}

ObjectFollower::ObjectFollower(ObjectStore &store, TimerService &timers, RandomSource &random, std::string prefix,
                               ObjectListener &listener, ObjectFollowerSettings settings)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_prefix(std::move(prefix))
    , m_listener(listener)
    , m_settings(settings)
{
}

ObjectFollower::~ObjectFollower()
{
    m_timers.cancel(m_timer);
}

void ObjectFollower::setReachabilityCallback(ReachabilityCallback callback)
{
    m_onReachabilityChanged = std::move(callback);
}

void ObjectFollower::setProgressCallback(ProgressCallback callback)
{
    m_onProgress = std::move(callback);
}

void ObjectFollower::reportProgress(const Progress &progress)
{
    if (m_onProgress) {
        m_onProgress(progress);
    }
}

// A relaxed first list may be outdated: the watch that follows brings the changes since. If the store no longer has the
// history from there on, the next list is an up-to-date one, so that an outdated list never leads to another.
void ObjectFollower::start()
{
    m_settings.isFirstListRelaxed ? m_store.listRelaxed(m_prefix, guarded(&ObjectFollower::handleListed)) : list();
}

void ObjectFollower::list()
{
    m_askedAt = m_timers.nowWithSuspension();
    m_store.list(m_prefix, guarded(&ObjectFollower::handleListed));
}

void ObjectFollower::watch()
{
    m_askedAt = m_timers.nowWithSuspension();
    m_store.watch(m_prefix, m_version, guarded(&ObjectFollower::handleChanged));
}

void ObjectFollower::handleListed(const absl::StatusOr<StoreChanges> &changes)
{
    if (!changes.ok()) {
        return retryLater(changes.status(), &ObjectFollower::list);
    }
    setStoreReachable(true);
    noteConfirmed();
    m_version = changes->nextVersion;
    m_listener.objectsListed(changes->objects);
    reportProgress({true, true, *changes});
    watch();
}

void ObjectFollower::handleChanged(const absl::StatusOr<StoreChanges> &changes)
{
    if (!changes.ok() && failureCode(changes.status()) == FailureCode::HistoryGone) {
        return list();
    }
    if (!changes.ok()) {
        // The store may have dropped a watch that it did not answer in time, together with changes that another watch
        // would not bring either.
        const bool isRefused = failureCode(changes.status()) == FailureCode::StoreUnavailable;
        return retryLater(changes.status(), isRefused ? &ObjectFollower::watch : &ObjectFollower::list);
    }
    setStoreReachable(true);
    noteConfirmed();
    m_version = std::max(m_version, changes->nextVersion);
    if (!changes->objects.empty()) {
        m_listener.objectsChanged(changes->objects);
    }
    reportProgress({true, false, *changes});
    if (changes->objects.empty() || m_settings.changePause == Duration::zero()) {
        return watch();
    }
    m_timer = m_timers.after(m_settings.changePause, [this] {
        m_timer = 0;
        watch();
    });
}

// A relaxed list confirms nothing: nothing was asked before it.
void ObjectFollower::noteConfirmed()
{
    m_previouslyConfirmedAt = std::exchange(m_confirmedAt, m_askedAt);
}

void ObjectFollower::retryLater(const absl::Status &status, void (ObjectFollower::*step)())
{
    ++m_failures;
    reportProgress({});
    // A single interrupted watch is not yet an outage; the next call shows whether there is one.
    if (m_failures > 1 || failureCode(status) == FailureCode::StoreUnavailable) {
        setStoreReachable(false);
    }
    const Duration whole =
        std::min(m_settings.longestBackoff, m_settings.firstBackoff * (1 << std::min(m_failures - 1, kMaxDoublings)));
    const Duration wait = whole / 2 + Duration(static_cast<Duration::rep>(m_random.below(whole.count() / 2 + 1)));
    m_timer = m_timers.after(wait, [this, step] {
        m_timer = 0;
        (this->*step)();
    });
}

void ObjectFollower::setStoreReachable(bool isStoreReachable)
{
    if (isStoreReachable) {
        m_failures = 0;
    }
    if (std::exchange(m_isStoreReachable, isStoreReachable) != isStoreReachable && m_onReachabilityChanged) {
        m_onReachabilityChanged(isStoreReachable);
    }
}

ObjectStore::Callback<StoreChanges>
ObjectFollower::guarded(void (ObjectFollower::*handler)(const absl::StatusOr<StoreChanges> &))
{
    return [this, alive = std::weak_ptr<int>(m_alive), handler](const absl::StatusOr<StoreChanges> &changes) {
        if (!alive.expired()) {
            (this->*handler)(changes);
        }
    };
}

}
