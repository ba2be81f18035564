#include "serving/relayedstore.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// How long the store is read through a home before the store itself is tried again. A try that fails takes 0.2 s, the
/// timeout of a new connection, during which no changes arrive. Network partitions seen last seven to nine seconds.
constexpr Duration kStoreRetryInterval = std::chrono::seconds(2);

/// Number of watchers of a zone that are asked one after the other before the store itself is.
constexpr int kMaxWatchers = 3;

/// How long a watch waits at most until the other processes are known. They are known soon after a start if the store
/// answers.
constexpr Duration kMaxPeerWait = std::chrono::seconds(2);
constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(50);

}

RelayedStore::RelayedStore(ObjectStore &store, HomeDirectory &homes, WatchPeerPort &peers, TimerService &timers,
                           Duration timeout)
    : ForwardingStore(store)
    , m_homes(homes)
    , m_peers(peers)
    , m_timers(timers)
    , m_timeout(timeout)
{
}

void RelayedStore::list(const std::string &prefix, Callback<StoreChanges> callback)
{
    askWatcher({prefix, 0}, 0, recordingVersion(prefix, std::move(callback)));
}

void RelayedStore::listRelaxed(const std::string &prefix, Callback<StoreChanges> callback)
{
    store().listRelaxed(prefix,
                        [this, prefix, callback = recordingVersion(prefix, std::move(callback))](const auto &changes) {
                            changes.ok() ? callback(changes) : read(prefix, 0, callback);
                        });
}

void RelayedStore::watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    askWhenPeersAreKnown({prefix, fromVersion}, m_timers.now() + kMaxPeerWait,
                         recordingVersion(prefix, std::move(callback)));
}

ObjectStore::Callback<StoreChanges> RelayedStore::recordingVersion(const std::string &prefix,
                                                                   Callback<StoreChanges> callback)
{
    return [this, prefix, callback = std::move(callback)](const absl::StatusOr<StoreChanges> &changes) {
        if (changes.ok()) {
            std::uint64_t &newest = m_newestVersions[prefix];
            newest = std::max(newest, changes->nextVersion);
        }
        callback(changes);
    };
}

bool RelayedStore::isCurrent(const Query &query, const StoreChanges &changes) const
{
    const auto it = m_newestVersions.find(query.prefix);
    return query.fromVersion != 0 || it == m_newestVersions.end() || changes.nextVersion >= it->second;
}

void RelayedStore::askWhenPeersAreKnown(const Query &query, Instant until, Callback<StoreChanges> callback)
{
    if (m_homes.arePeersKnown() || m_timers.now() >= until) {
        return askWatcher(query, 0, std::move(callback));
    }
    m_timers.after(kPeerCheckInterval,
                   [this, query, until, callback = std::move(callback), alive = std::weak_ptr<int>(m_alive)]() mutable {
                       if (!alive.expired()) {
                           askWhenPeersAreKnown(query, until, std::move(callback));
                       }
                   });
}

void RelayedStore::askWatcher(const Query &query, int asked, Callback<StoreChanges> callback)
{
    const std::string watcher = m_homes.watcher(m_timers.now());
    if (watcher == m_homes.self() || asked == kMaxWatchers) {
        return read(query.prefix, query.fromVersion, std::move(callback));
    }
    const auto onAnswer = [this, watcher, query, asked,
                           callback = std::move(callback)](const absl::StatusOr<StoreChanges> &changes) {
        if (changes.ok()) {
            m_homes.noteReached(watcher);
            return isCurrent(query, *changes) ? callback(changes) : read(query.prefix, query.fromVersion, callback);
        }
        const FailureCode code = failureCode(changes.status());
        // A watcher whose history does not reach back far enough works properly. The caller lists next and continues
        // from that list.
        if (code == FailureCode::HistoryGone) {
            return callback(changes);
        }
        m_homes.noteUnreachable(watcher, m_timers.now());
        // A silent watcher has used up most of the time in which changes must arrive. After a failure that came at once
        // there is time to ask another watcher.
        if (code == FailureCode::ConnectionSilent) {
            return read(query.prefix, query.fromVersion, callback);
        }
        askWatcher(query, asked + 1, callback);
    };
    m_peers.watch(watcher, query.prefix, query.fromVersion, m_timeout, onAnswer);
}

void RelayedStore::setReadPathCallback(std::function<void(bool isReadingThroughHome)> callback)
{
    m_onReadPathChanged = std::move(callback);
}

void RelayedStore::read(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    if (m_isReadingThroughHome && m_timers.now() < m_retryStoreAt) {
        const absl::Status failure =
            makeFailure(FailureCode::StoreUnavailable, "the store did not answer a previous call");
        return readThroughHome(prefix, fromVersion, failure, std::move(callback));
    }
    readDirectly(
        prefix, fromVersion,
        [this, prefix, fromVersion, callback = std::move(callback)](const absl::StatusOr<StoreChanges> &changes) {
            if (changes.ok() || failureCode(changes.status()) == FailureCode::HistoryGone) {
                setReadingThroughHome(false);
                return callback(changes);
            }
            readThroughHome(prefix, fromVersion, changes.status(), callback);
        });
}

void RelayedStore::readDirectly(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    fromVersion == 0 ? store().list(prefix, std::move(callback))
                     : store().watch(prefix, fromVersion, std::move(callback));
}

void RelayedStore::readThroughHome(const std::string &prefix, std::uint64_t fromVersion, const absl::Status &failure,
                                   Callback<StoreChanges> callback)
{
    const std::string home = m_homes.nearestHome(m_timers.now());
    if (home.empty()) {
        setReadingThroughHome(false);
        return callback(failure);
    }
    m_peers.watch(home, prefix, fromVersion, m_timeout,
                  [this, home, failure, callback = std::move(callback)](const absl::StatusOr<StoreChanges> &changes) {
                      if (changes.ok() || failureCode(changes.status()) == FailureCode::HistoryGone) {
                          m_homes.noteReached(home);
                          setReadingThroughHome(true);
                          return callback(changes);
                      }
                      const FailureCode code = failureCode(changes.status());
                      if (code == FailureCode::ConnectionLost || code == FailureCode::ConnectionSilent) {
                          m_homes.noteUnreachable(home, m_timers.now());
                      }
                      setReadingThroughHome(false);
                      callback(failure);
                  });
}

void RelayedStore::setReadingThroughHome(bool isReadingThroughHome)
{
    if (isReadingThroughHome && m_timers.now() >= m_retryStoreAt) {
        m_retryStoreAt = m_timers.now() + kStoreRetryInterval;
    }
    if (std::exchange(m_isReadingThroughHome, isReadingThroughHome) != isReadingThroughHome && m_onReadPathChanged) {
        m_onReadPathChanged(isReadingThroughHome);
    }
}

}
