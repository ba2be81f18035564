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
    /// Waits between failed calls: the first, doubled up to the longest, each drawn between half and the whole. Short
    /// enough that a change made during an outage is known a second after its end.
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration longestBackoff = std::chrono::milliseconds(800);
    /// After changes the next watch begins so much later: what comes meanwhile is read as one. Reading a configuration
    /// of 50 kB takes the smallest instances some 30 ms, and in a storm there are sixteen a second.
    Duration changePause{};
};

/// Keeps up with the objects of the platform's store under one prefix: lists them once and then watches, from the
/// version known on, and lists anew when the store no longer has that much history.
///
/// Single-threaded: the store's callbacks must come on the owner's thread.
class ObjectFollower
{
public:
    /// Everything up to a version is known: by these changes, or by a list, which has all objects; nothing when the
    /// store failed to answer.
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

    /// Called when the store is lost, and when it answers again.
    void setReachabilityCallback(ReachabilityCallback callback);

    /// Called with every answer of the store and every failure, after the listener.
    void setProgressCallback(ProgressCallback callback);

    void start();

    /// Whether the store answered last.
    bool isStoreReachable() const
    {
        return m_isStoreReachable;
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
    TimerId m_timer = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
