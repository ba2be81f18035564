#include "serving/relayedstore.h"

#include "base/failure.h"

#include <utility>

namespace RadishSwitch
{

RelayedStore::RelayedStore(ObjectStore &store, HomeDirectory &homes, WatchPeerPort &peers, TimerService &timers,
                           Duration timeout)
    : m_store(store)
    , m_homes(homes)
    , m_peers(peers)
    , m_timers(timers)
    , m_timeout(timeout)
{
}

void RelayedStore::get(const std::string &key, Callback<StoredObject> callback)
{
    m_store.get(key, std::move(callback));
}

void RelayedStore::put(const std::string &key, std::string value, std::uint64_t expectedVersion,
                       Callback<std::uint64_t> callback)
{
    m_store.put(key, std::move(value), expectedVersion, std::move(callback));
}

void RelayedStore::remove(const std::string &key, std::uint64_t expectedVersion,
                          std::function<void(absl::Status)> callback)
{
    m_store.remove(key, expectedVersion, std::move(callback));
}

void RelayedStore::list(const std::string &prefix, Callback<StoreChanges> callback)
{
    m_store.list(prefix, std::move(callback));
}

void RelayedStore::watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    const std::string watcher = m_homes.watcher(m_timers.now());
    if (watcher == m_homes.self()) {
        return m_store.watch(prefix, fromVersion, std::move(callback));
    }
    m_peers.watch(watcher, prefix, fromVersion, m_timeout,
                  [this, watcher, prefix, fromVersion,
                   callback = std::move(callback)](const absl::StatusOr<StoreChanges> &changes) {
                      if (changes.ok()) {
                          m_homes.noteReached(watcher);
                          return callback(changes);
                      }
                      // One that doesn't know so much history is sound; the caller lists, and goes on with it.
                      if (failureCode(changes.status()) == FailureCode::HistoryGone) {
                          return callback(changes);
                      }
                      m_homes.noteUnreachable(watcher, m_timers.now());
                      m_store.watch(prefix, fromVersion, callback);
                  });
}

}
