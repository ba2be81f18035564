#include "serving/watchlog.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

void WatchLog::noteChanges(const StoreChanges &changes)
{
    m_hasAnswer = true;
    m_isStoreReached = true;
    m_version = std::max(m_version, changes.nextVersion);
    for (const StoredObject &object : changes.objects) {
        applyChange(object);
    }
    while (m_removals.size() > kMaxRemovals) {
        m_completeFrom = m_removals.front().version;
        m_removals.pop_front();
    }
    answerWaiters();
}

void WatchLog::applyChange(const StoredObject &object)
{
    std::erase_if(m_removals, [&object](const Removal &it) {
        return it.key == object.key;
    });
    if (object.version != 0) {
        m_objects[object.key] = object;
        return;
    }
    m_objects.erase(object.key);
    // A removal has no version of its own. The version of the whole answer is never too early.
    m_removals.push_back({m_version, object.key});
}

void WatchLog::noteListed(const StoreChanges &all)
{
    m_hasAnswer = true;
    m_isStoreReached = true;
    m_version = all.nextVersion;
    m_completeFrom = all.nextVersion;
    m_removals.clear();
    m_objects.clear();
    for (const StoredObject &object : all.objects) {
        m_objects[object.key] = object;
    }
    answerWaiters();
}

void WatchLog::noteStoreLost()
{
    m_hasAnswer = true;
    m_isStoreReached = false;
    answerWaiters();
}

void WatchLog::watch(std::uint64_t fromVersion, Callback callback)
{
    const auto answer = currentAnswer(fromVersion);
    const bool isList = fromVersion == 0;
    if (answer && (!answer->ok() || isList || !(*answer)->objects.empty())) {
        return callback(*answer);
    }
    m_waiters.push_back({fromVersion, std::move(callback)});
}

std::optional<absl::StatusOr<StoreChanges>> WatchLog::currentAnswer(std::uint64_t fromVersion) const
{
    if (!m_hasAnswer) {
        return std::nullopt;
    }
    if (!m_isStoreReached) {
        return makeFailure(FailureCode::StoreUnavailable, "the watching gateway can't reach the store");
    }
    const bool isList = fromVersion == 0;
    if (!isList && fromVersion < m_completeFrom) {
        return makeFailure(FailureCode::HistoryGone,
                           "the watching gateway does not have the history since that version");
    }
    StoreChanges changes;
    // The asking process may have received a newer version than this gateway.
    changes.nextVersion = std::max(fromVersion, m_version);
    for (const auto &[key, object] : m_objects) {
        if (object.version > fromVersion) {
            changes.objects.push_back(object);
        }
    }
    for (const Removal &removal : m_removals) {
        if (!isList && removal.version > fromVersion) {
            changes.objects.push_back({removal.key, std::string(), 0});
        }
    }
    return changes;
}

void WatchLog::answerWaiters()
{
    const std::vector<Waiter> waiters = std::exchange(m_waiters, {});
    for (const Waiter &it : waiters) {
        it.callback(*currentAnswer(it.fromVersion));
    }
}

}
