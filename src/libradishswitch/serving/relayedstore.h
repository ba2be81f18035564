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

/// The platform's store, with watches that go through the one gateway that watches for several.
///
/// Each call to the store is paid for, a waiting watch too. Watches of every gateway would cost more than all else
/// together: 2,900 of 4,900 calls of a calm day of 23 gateways, measured. While the gateway that watches can't be
/// reached, or does not reach the store, the next one of the zone is asked, and then the store itself. What a gateway
/// has to list anew it asks there too. At a process's start its first watches wait until it knows the others.
///
/// Gateways that are cut off from the store read it through a home beside an endpoint, which mostly is not. Without
/// that they learn of no endpoint that starts while the cut lasts: where a quarter of twelve engines crashed just
/// before all gateways were cut off for eight seconds, the other nine had all of the load until the end of the cut.
class RelayedStore : public ForwardingStore
{
public:
    /// `timeout` is how long the watcher may be without a word.
    RelayedStore(ObjectStore &store, HomeDirectory &homes, WatchPeerPort &peers, TimerService &timers,
                 Duration timeout);

    /// Called when reading goes through a home from now on, and when the store itself answers again.
    void setReadPathCallback(std::function<void(bool isReadingThroughHome)> callback);

    /// Whether the store itself did not answer when it was last read.
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
        /// Zero for everything.
        std::uint64_t fromVersion = 0;
    };

    void askWhenPeersAreKnown(const Query &query, Instant until, Callback<StoreChanges> callback);
    /// Asks the gateway that watches; `asked` of its zone were asked before it.
    void askWatcher(const Query &query, int asked, Callback<StoreChanges> callback);
    /// Whether an answer knows all that this process has newest before.
    bool isCurrent(const Query &query, const StoreChanges &changes) const;
    Callback<StoreChanges> recordingVersion(const std::string &prefix, Callback<StoreChanges> callback);
    /// Reads from the store, and through a home if it does not answer. Version zero reads everything.
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
    /// The newest version newest of, by prefix.
    std::map<std::string, std::uint64_t> m_newestVersions;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    /// While a detour is made, when the store itself is to be tried again.
    Instant m_retryStoreAt = Instant::min();
};

}
