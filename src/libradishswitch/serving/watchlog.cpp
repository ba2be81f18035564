#include "serving/watchlog.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

void WatchLog::noteChanges(const StoreChanges &changes)
{
    m_isReached = true;
    m_version = std::max(m_version, changes.nextVersion);
    for (const StoredObject &object : changes.objects) {
        // A removal does not tell its version; that of the whole answer is late enough.
        // Only the newest state of an object is of use; a configuration that changes often would be sent many times
        // over.
        std::erase_if(m_entries, [&object](const Entry &entry) {
            return entry.object.key == object.key;
        });
        m_entries.push_back({m_version, object});
    }
    while (m_entries.size() > kMostEntries) {
        m_completeFrom = m_entries.front().version;
        m_entries.pop_front();
    }
    answerAll();
}

void WatchLog::noteListed(std::uint64_t version)
{
    m_isReached = true;
    m_version = version;
    m_completeFrom = version;
    m_entries.clear();
    answerAll();
}

void WatchLog::noteLost()
{
    m_isReached = false;
    answerAll();
}

void WatchLog::watch(std::uint64_t fromVersion, Callback callback)
{
    const auto answer = answerNow(fromVersion);
    if (answer && (!answer->ok() || !(*answer)->objects.empty())) {
        return callback(*answer);
    }
    m_waiting.push_back({fromVersion, std::move(callback)});
}

std::optional<absl::StatusOr<StoreChanges>> WatchLog::answerNow(std::uint64_t fromVersion) const
{
    if (!m_isReached) {
        return makeFailure(FailureCode::StoreUnavailable, "the gateway that watches does not reach the store");
    }
    if (fromVersion < m_completeFrom) {
        return makeFailure(FailureCode::HistoryGone, "the gateway that watches does not know what came after that");
    }
    StoreChanges changes;
    // An asker may have heard of more than this gateway.
    changes.nextVersion = std::max(fromVersion, m_version);
    for (const Entry &entry : m_entries) {
        if (entry.version > fromVersion) {
            changes.objects.push_back(entry.object);
        }
    }
    return changes;
}

void WatchLog::answerAll()
{
    const std::vector<Waiting> waiting = std::exchange(m_waiting, {});
    for (const Waiting &it : waiting) {
        it.callback(*answerNow(it.fromVersion));
    }
}

}
