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

/// The objects and recent changes of a prefix of the store, kept by one gateway for others that list and watch through
/// it.
///
/// Waiting watches are answered when there are changes, and also each time the store reported that there are none.
/// Otherwise the other gateways could not tell whether this gateway still reaches the store.
class WatchLog
{
public:
    using Callback = ObjectStore::Callback<StoreChanges>;

    /// Adds changes from the store, possibly none: everything up to `changes.nextVersion` is known.
    void noteChanges(const StoreChanges &changes);

    /// Replaces all objects by a new list. The changes that led to it are not known.
    void noteListed(const StoreChanges &all);

    /// The store does not answer. All waiting watches, and all calls from now on, get StoreUnavailable until the store
    /// answers again.
    void noteStoreLost();

    /// Calls back with the changes after `fromVersion`, at once or with the store's next answer, or with all objects if
    /// `fromVersion` is zero. Fails with HistoryGone if these changes are not known here, and with StoreUnavailable
    /// while the store does not answer. Before the store's first answer all calls wait: after a power failure all
    /// gateways of a zone start at the same time, and a single list must do for all of them.
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

    /// Number of removals kept, enough for about a minute of the busiest times.
    static constexpr std::size_t kMaxRemovals = 256;

    std::optional<absl::StatusOr<StoreChanges>> currentAnswer(std::uint64_t fromVersion) const;
    void answerWaiters();

    void applyChange(const StoredObject &object);

    std::map<std::string, StoredObject> m_objects;
    std::deque<Removal> m_removals;
    std::vector<Waiter> m_waiters;
    /// All removals after this version are in `m_removals`.
    std::uint64_t m_completeFrom = 0;
    std::uint64_t m_version = 0;
    bool m_hasAnswer = false;
    bool m_isStoreReached = false;
};

}
