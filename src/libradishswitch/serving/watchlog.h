#pragma once

#include "base/objectstore.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace RadishSwitch
{

/// What one gateway has heard of a prefix of the store, kept for others that watch through it.
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
    void noteListed(std::uint64_t version);

    /// The store does not answer. Those that wait get StoreUnavailable, and those that ask from now on.
    void noteLost();

    /// Calls back with what changed after `fromVersion`, now or with the store's next word. HistoryGone when that is
    /// not known here, StoreUnavailable while the store is lost.
    void watch(std::uint64_t fromVersion, Callback callback);

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    struct Entry {
        std::uint64_t version = 0;
        StoredObject object;
    };

    struct Waiting {
        std::uint64_t fromVersion = 0;
        Callback callback;
    };

    /// Entries kept; about a minute of the busiest times.
    static constexpr std::size_t kMostEntries = 256;

    std::optional<absl::StatusOr<StoreChanges>> answerNow(std::uint64_t fromVersion) const;
    void answerAll();

    std::deque<Entry> m_entries;
    std::vector<Waiting> m_waiting;
    /// Changes after this version are all in `m_entries`.
    std::uint64_t m_completeFrom = 0;
    std::uint64_t m_version = 0;
    bool m_isReached = false;
};

}
