#include "objecttable.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kMostRevisions = 16;
constexpr std::size_t kMostPastBytes = 256 * 1024;
constexpr Duration kLongestPast = std::chrono::minutes(1);

}

const ObjectTable::Revision *ObjectTable::present(const std::string &key) const
{
    const auto it = m_histories.find(key);
    if (it == m_histories.end() || it->second.back().isRemoval) {
        return nullptr;
    }
    return &it->second.back();
}

const ObjectTable::Revision *ObjectTable::revisionAt(const History &history, Instant moment)
{
    const auto it = std::find_if(history.rbegin(), history.rend(), [moment](const Revision &revision) {
        return revision.writtenAt <= moment;
    });
    return it == history.rend() || it->isRemoval ? nullptr : &*it;
}

absl::StatusOr<StoredObject> ObjectTable::get(const std::string &key) const
{
    const Revision *revision = present(key);
    if (!revision) {
        return makeFailure(FailureCode::ObjectMissing, key);
    }
    return StoredObject{key, revision->value, revision->version};
}

absl::StatusOr<StoredObject> ObjectTable::getAt(const std::string &key, Instant moment) const
{
    const auto it = m_histories.find(key);
    const Revision *revision = it == m_histories.end() ? nullptr : revisionAt(it->second, moment);
    if (!revision) {
        return makeFailure(FailureCode::ObjectMissing, key);
    }
    return StoredObject{key, revision->value, revision->version};
}

absl::StatusOr<std::uint64_t> ObjectTable::put(const std::string &key, std::string value, std::uint64_t expectedVersion,
                                               Instant now)
{
    if (value.size() > kMaximumValueBytes) {
        return makeFailure(FailureCode::ObjectTooLarge, key);
    }
    const Revision *revision = present(key);
    if ((revision ? revision->version : 0) != expectedVersion) {
        return makeFailure(FailureCode::VersionConflict, key);
    }
    return overwrite(key, std::move(value), now);
}

std::uint64_t ObjectTable::overwrite(const std::string &key, std::string value, Instant now)
{
    return append(key, Revision{std::move(value), 0, now, false});
}

absl::Status ObjectTable::remove(const std::string &key, std::uint64_t expectedVersion, Instant now)
{
    const Revision *revision = present(key);
    if (!revision) {
        return makeFailure(FailureCode::ObjectMissing, key);
    }
    if (revision->version != expectedVersion) {
        return makeFailure(FailureCode::VersionConflict, key);
    }
    append(key, Revision{{}, 0, now, true});
    return absl::OkStatus();
}

std::uint64_t ObjectTable::append(const std::string &key, Revision revision)
{
    History &history = m_histories[key];
    if (!history.empty()) {
        m_keyOfVersion.erase(history.back().version);
    }
    revision.version = ++m_version;
    m_keyOfVersion.emplace(m_version, key);
    m_versionOfInstant[revision.writtenAt] = m_version;
    const Instant oldest = revision.writtenAt - kLongestPast;
    m_versionOfInstant.erase(m_versionOfInstant.begin(), m_versionOfInstant.lower_bound(oldest));
    history.push_back(std::move(revision));
    forgetOldest(history);
    return m_version;
}

void ObjectTable::forgetOldest(History &history)
{
    std::size_t kept = 1;
    std::size_t bytes = 0;
    while (kept < std::min(history.size(), kMostRevisions)) {
        bytes += history[history.size() - kept - 1].value.size();
        if (bytes > kMostPastBytes) {
            break;
        }
        ++kept;
    }
    history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(kept));
}

StoreChanges ObjectTable::list(const std::string &prefix) const
{
    StoreChanges changes;
    changes.nextVersion = m_version;
    for (auto it = m_histories.lower_bound(prefix); it != m_histories.end() && it->first.starts_with(prefix); ++it) {
        const Revision &last = it->second.back();
        if (!last.isRemoval) {
            changes.objects.push_back(StoredObject{it->first, last.value, last.version});
        }
    }
    return changes;
}

StoreChanges ObjectTable::listAt(const std::string &prefix, Instant moment) const
{
    StoreChanges changes;
    const auto after = m_versionOfInstant.upper_bound(moment);
    changes.nextVersion = after == m_versionOfInstant.begin() ? 0 : std::prev(after)->second;
    for (auto it = m_histories.lower_bound(prefix); it != m_histories.end() && it->first.starts_with(prefix); ++it) {
        if (const Revision *revision = revisionAt(it->second, moment)) {
            changes.objects.push_back(StoredObject{it->first, revision->value, revision->version});
        }
    }
    return changes;
}

StoreChanges ObjectTable::changesAfter(const std::string &prefix, std::uint64_t version) const
{
    StoreChanges changes;
    changes.nextVersion = m_version;
    for (auto it = m_keyOfVersion.upper_bound(version); it != m_keyOfVersion.end(); ++it) {
        if (!it->second.starts_with(prefix)) {
            continue;
        }
        const Revision &last = m_histories.at(it->second).back();
        changes.objects.push_back(StoredObject{it->second, last.value, last.isRemoval ? 0 : last.version});
    }
    return changes;
}

}
