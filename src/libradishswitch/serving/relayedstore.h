#pragma once

#include "base/forwardingstore.h"
#include "serving/homedirectory.h"
#include "serving/watchpeerport.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// The platform's store, with watches that go through the one gateway that watches the store for its zone.
///
/// Each call to the store costs money, and so does a waiting watch. If every gateway watched, the watches would cost
/// more than everything else together: 2,900 of 4,900 calls on a calm day with 23 gateways, measured. If the watching
/// gateway can't be reached, or does not reach the store, the next gateway of the zone is asked, and finally the store
/// itself. Lists go the same way. The first watches after a process's start wait until the process knows the others.
///
/// Gateways that are cut off from the store read it through a home, which runs beside an endpoint and mostly is not cut
/// off. Otherwise they would not learn of endpoints that start during the partition: when a quarter of twelve engines
/// crashed just before all gateways were cut off for eight seconds, the other nine had all the load until the partition
/// ended.
class RelayedStore : public ForwardingStore
{
public:
    /// `timeout` is how long a watcher or home may take to answer.
    RelayedStore(ObjectStore &store, HomeDirectory &homes, WatchPeerPort &peers, TimerService &timers,
                 Duration timeout);

    /// Called when reads start to go through a home, and when they go to the store itself again.
    void setReadPathCallback(std::function<void(bool isReadingThroughHome)> callback);

    /// Whether the store itself did not answer the last read and a home did.
    bool isReadingThroughHome() const
    {
        return m_isReadingThroughHome;
    }

    void list(const std::string &prefix, Callback<StoreChanges> callback) override;
    void listRelaxed(const std::string &prefix, Callback<StoreChanges> callback) override;
    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override;

private:
    struct Query {
        std::string prefix;
        /// Zero reads everything.
        std::uint64_t fromVersion = 0;
    };

    void askWhenPeersAreKnown(const Query &query, Instant until, Callback<StoreChanges> callback);
    /// Asks the watcher of the zone. `asked` is the number of watchers asked before.
    void askWatcher(const Query &query, int asked, Callback<StoreChanges> callback);
    /// Whether an answer is at least as new as all answers that this process had before.
    bool isCurrent(const Query &query, const StoreChanges &changes) const;
    Callback<StoreChanges> recordingVersion(const std::string &prefix, Callback<StoreChanges> callback);
    /// Reads from the store, or through a home if the store does not answer. Version zero reads everything.
    void read(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback);
    void readDirectly(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback);
    void readThroughHome(const std::string &prefix, std::uint64_t fromVersion, const absl::Status &failure,
                         Callback<StoreChanges> callback);
    void setReadingThroughHome(bool isReadingThroughHome);

    HomeDirectory &m_homes;
    WatchPeerPort &m_peers;
    TimerService &m_timers;
    const Duration m_timeout;
    std::function<void(bool)> m_onReadPathChanged;
    bool m_isReadingThroughHome = false;
    /// The newest version received, by prefix.
    std::map<std::string, std::uint64_t> m_newestVersions;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    /// While reads go through a home: when the store itself is tried again.
    Instant m_retryStoreAt = Instant::min();
};

}
