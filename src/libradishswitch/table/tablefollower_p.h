#pragma once

#include "table/tablefollower.h"

#include <map>
#include <mutex>
#include <string>

namespace RadishSwitch
{

/// What a process knows of the table at one revision.
struct HeldTable {
    TableDocument document;
    SteeringTablePointer table;
    std::uint64_t rowsDigest = 0;

    static std::shared_ptr<const HeldTable> of(TableDocument document);
};

using HeldTablePointer = std::shared_ptr<const HeldTable>;

/// The follower's state, which the callbacks that are under way keep alive.
class TableFollower::Private : public std::enable_shared_from_this<TableFollower::Private>
{
public:
    Private(ObjectStore &store, TimerService &timers, TaskQueue &tasks, RandomSource &random, TablePeerPort &peers,
            TableFollowerSettings settings);

    void start();
    void stop();
    void setWatching(bool watching);
    HeldTablePointer held() const;
    SubscriptionId subscribe(Callback callback);
    void unsubscribe(SubscriptionId id);
    absl::Status offer(std::uint64_t revision, const std::string &bytes);
    void peerHasRevision(std::uint64_t revision, const std::string &peer);
    TableFollowerStatus status() const;

private:
    struct Subscriber {
        Callback callback;
        std::uint64_t delivered = 0;
        bool isBusy = false;
    };

    enum class Source {
        Store,
        Peer,
    };

    // These take the mutex themselves.
    void install(HeldTablePointer newer, Source source, std::size_t bytes);
    void takeFromStore(const StoreChanges &changes);
    bool noteObject(const StoredObject &object);
    void takeTable(const std::string &bytes);
    void onListed(std::uint64_t step, const absl::StatusOr<StoreChanges> &changes);
    void onWatched(std::uint64_t step, const absl::StatusOr<StoreChanges> &changes);
    void onPulled(std::uint64_t pull, const std::string &peer, const absl::StatusOr<std::string> &bytes);
    void onTick();
    void deliver(SubscriptionId id);
    absl::Status takeDelta(const std::string &bytes);

    // These are called with the mutex held.
    bool shouldAskStore() const;
    void list();
    void watch();
    void watchOn();
    void retryLater();
    void beginStep(Duration deadline, void (Private::*onDeadline)());
    void endStep();
    void giveUpStep();
    void pullNext();
    void endPull(const std::string &peer);
    void postDelivery(SubscriptionId id);
    Duration jittered(Duration span);
    Duration watchDeadline() const;

    ObjectStore &m_store;
    TimerService &m_timers;
    TaskQueue &m_tasks;
    RandomSource &m_random;
    TablePeerPort &m_peers;
    const TableFollowerSettings m_settings;

    mutable std::mutex m_mutex;
    HeldTablePointer m_held;
    TableFollowerStatus m_status;
    std::map<SubscriptionId, Subscriber> m_subscribers;
    SubscriptionId m_lastSubscription = 0;
    bool m_isRunning = false;
    bool m_isWatching = false;
    TimerId m_tickTimer = 0;

    // The exchange with the store: at most one step at a time. An answer to a step that was given up moves nothing on.
    std::uint64_t m_step = 0;
    bool m_isStepping = false;
    TimerId m_stepTimer = 0;
    std::uint64_t m_watchFrom = 0;
    /// The store's version and the size of the table that it gave last.
    std::uint64_t m_seenVersion = 0;
    std::size_t m_seenBytes = 0;
    Instant m_nextList{};
    Instant m_stepBegan{};
    Duration m_retryDelay{};

    // Peers known to have a newer table, and the pull under way.
    Instant m_askStoreAfter{};
    std::map<std::string, std::uint64_t> m_newerPeers;
    std::uint64_t m_pull = 0;
    bool m_isPulling = false;
    bool m_needsWhole = false;
    TimerId m_pullTimer = 0;
};

}
