#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "serving/objectlistener.h"

#include <functional>
#include <memory>
#include <string>

namespace RadishSwitch
{

struct ObjectFollowerSettings {
    /// Backoff between failed calls: it starts with the first, doubles up to the longest, and is drawn between half and
    /// all of that. Short enough that a change made during an outage is known a second after its end.
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration longestBackoff = std::chrono::milliseconds(800);
    /// How long the next watch is delayed after changes, so that further changes in that time are read as one. Reading
    /// a configuration of 50 kB takes the smallest instances about 30 ms, and at times of many changes there are
    /// sixteen a second.
    Duration changePause{};
    /// Whether the first list may be some seconds old, which costs the store less.
    bool isFirstListRelaxed = true;
};

/// Follows the objects of the platform's store under one prefix: lists them once, then watches them from the version of
/// the list on, and lists them again if the store no longer has that much history.
///
/// Single-threaded: the store's callbacks must come on the owner's thread.
class ObjectFollower
{
public:
    /// The result of a call to the store. Everything up to the version of `changes` is known, either from the changes
    /// since the last call or from a list, which contains all objects. After a failed call `isStoreReachable` is false.
    struct Progress {
        bool isStoreReachable = false;
        bool wasListed = false;
        StoreChanges changes;
    };

    using ProgressCallback = std::function<void(const Progress &)>;
    using ReachabilityCallback = std::function<void(bool isStoreReachable)>;

    ObjectFollower(ObjectStore &store, TimerService &timers, RandomSource &random, std::string prefix,
                   ObjectListener &listener, ObjectFollowerSettings settings = {});
    ~ObjectFollower();

    ObjectFollower(const ObjectFollower &) = delete;
    ObjectFollower &operator=(const ObjectFollower &) = delete;

    /// Called when the store stops answering, and when it answers again.
    void setReachabilityCallback(ReachabilityCallback callback);

    /// Called after the listener, for every answer of the store and for every failure.
    void setProgressCallback(ProgressCallback callback);

    void start();

    /// Whether the store answered the last call. A single interrupted watch does not count as a failure.
    bool isStoreReachable() const
    {
        return m_isStoreReachable;
    }

    /// As of when everything in the store is known, by the clock that counts suspensions: when the last watch or
    /// up-to-date list was begun that the store has answered. Instant::min() before the first of them.
    Instant confirmedAt() const
    {
        return m_confirmedAt;
    }

    /// The same before the last answer. A change that came with that answer was made later than this.
    Instant previouslyConfirmedAt() const
    {
        return m_previouslyConfirmedAt;
    }

    /// The version of the store up to which the objects are known; zero before the first list.
    std::uint64_t version() const
    {
        return m_version;
    }

private:
    void list();
    void watch();
    void handleListed(const absl::StatusOr<StoreChanges> &changes);
    void handleChanged(const absl::StatusOr<StoreChanges> &changes);
    void retryLater(const absl::Status &status, void (ObjectFollower::*step)());
    void reportProgress(const Progress &progress);
    void setStoreReachable(bool isStoreReachable);
    void noteConfirmed();
    ObjectStore::Callback<StoreChanges> guarded(void (ObjectFollower::*handler)(const absl::StatusOr<StoreChanges> &));

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    const std::string m_prefix;
    ObjectListener &m_listener;
    const ObjectFollowerSettings m_settings;
    ReachabilityCallback m_onReachabilityChanged;
    ProgressCallback m_onProgress;
    std::uint64_t m_version = 0;
    int m_failures = 0;
    bool m_isStoreReachable = true;
    Instant m_askedAt = Instant::min();
    Instant m_confirmedAt = Instant::min();
    Instant m_previouslyConfirmedAt = Instant::min();
    TimerId m_timer = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
