#pragma once

#include "base/objectstore.h"
#include "base/timerservice.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The objects of the stand-in, in memory, with versions, conditional writes, and enough of the past to answer a read
/// from it. Single-threaded; time is passed in.
class ObjectTable
{
public:
    static constexpr std::size_t kMaximumValueBytes = 1024 * 1024;

    /// ObjectMissing when there is none.
    absl::StatusOr<StoredObject> get(const std::string &key) const;

    /// As `get`, but as it was at `moment`.
    absl::StatusOr<StoredObject> getAt(const std::string &key, Instant moment) const;

    /// Writes if the version still is `expectedVersion`, zero standing for "there is none". Gives the new version.
    /// VersionConflict, ObjectTooLarge.
    absl::StatusOr<std::uint64_t> put(const std::string &key, std::string value, std::uint64_t expectedVersion,
                                      Instant now);

    /// Writes whatever is there.
    std::uint64_t overwrite(const std::string &key, std::string value, Instant now);

    /// ObjectMissing, VersionConflict.
    absl::Status remove(const std::string &key, std::uint64_t expectedVersion, Instant now);

    StoreChanges list(const std::string &prefix) const;
    StoreChanges listAt(const std::string &prefix, Instant moment) const;

    /// What changed under `prefix` after `version`; removed objects have version zero.
    StoreChanges changesAfter(const std::string &prefix, std::uint64_t version) const;

private:
    struct Revision {
        std::string value;
        std::uint64_t version = 0;
        Instant writtenAt;
        bool isRemoval = false;
    };

    using History = std::vector<Revision>;

    const Revision *present(const std::string &key) const;
    static const Revision *revisionAt(const History &history, Instant moment);
    std::uint64_t append(const std::string &key, Revision revision);
    static void forgetOldest(History &history);

    std::map<std::string, History> m_histories;
    /// The key of each object, by the version of its last change.
    std::map<std::uint64_t, std::string> m_keyOfVersion;
    std::map<Instant, std::uint64_t> m_versionOfInstant;
    std::uint64_t m_version = 0;
};

}
