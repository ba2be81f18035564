#pragma once

#include "base/objectstore.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// What one gateway knows of a prefix of the store, kept for others that list and watch through it.
///
/// An answer is given when there is news, and also each time the store said that there is none: silence would leave the
/// others in doubt whether this gateway still hears the store.
class WatchLog
{
public:
    using Callback = ObjectStore::Callback<StoreChanges>;

    /// Changes came from the store, perhaps none: everything up to `changes.nextVersion` is known.
    void noteChanges(const StoreChanges &changes);

    /// Everything was listed anew; what led there is not known.
    void noteListed(const StoreChanges &all);

    /// The store does not answer. Those that wait get StoreUnavailable, and those that ask from now on.
    void noteStoreLost();

    /// Calls back with what changed after `fromVersion`, now or with the store's next word; with everything for version
    /// zero. HistoryGone when that is not known here, StoreUnavailable while the store is lost. Before the first word
    /// of the store it waits: after a loss of power all of a zone start at once, and one list is to do for all.
    void watch(std::uint64_t fromVersion, Callback callback);

    std::size_t waiters() const
    {
        return m_waiters.size();
    }

private:
    struct Removal {
        std::uint64_t version = 0;
        std::string key;
    };

    struct Waiter {
        std::uint64_t fromVersion = 0;
        Callback callback;
    };

    /// Removals kept; about a minute of the busiest times.
    static constexpr std::size_t kMaxRemovals = 256;

    std::optional<absl::StatusOr<StoreChanges>> currentAnswer(std::uint64_t fromVersion) const;
    void answerWaiters();

    void applyChange(const StoredObject &object);

    std::map<std::string, StoredObject> m_objects;
    std::deque<Removal> m_removals;
    std::vector<Waiter> m_waiters;
    /// Removals after this version are all in `m_removals`.
    std::uint64_t m_completeFrom = 0;
    std::uint64_t m_version = 0;
    bool m_hasAnswer = false;
    bool m_isStoreReached = false;
};

}
