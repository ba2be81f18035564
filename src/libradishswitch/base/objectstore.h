#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace RadishSwitch
{

/// An object of the platform's object store, as it was read.
struct StoredObject {
    std::string key;
    std::string value;
    /// Increases with every write to the store, over all objects. Zero means that the object does not exist.
    std::uint64_t version = 0;

    bool operator==(const StoredObject &) const = default;
};

/// The result of a watch or a list: the changed objects, and the version from which to continue watching. An object
/// that was removed has version zero.
struct StoreChanges {
    std::vector<StoredObject> objects;
    std::uint64_t nextVersion = 0;
};

/// The platform's object store, with versions, conditional updates and watches. Values may be up to one megabyte.
///
/// Errors: StoreUnavailable when the call certainly had no effect; StoreTimeout when it may have had one because the
/// answer was lost or late, so that a writer must read the object again; VersionConflict, ObjectMissing and
/// ObjectTooLarge as their names say. Callbacks may be called on any thread, but never from within the call itself.
class ObjectStore
{
public:
    template<typename T>
    using Callback = std::function<void(absl::StatusOr<T>)>;

    virtual ~ObjectStore() = default;

    virtual void get(const std::string &key, Callback<StoredObject> callback) = 0;

    /// Writes the object if its version is still `expectedVersion`; zero means that the object must not exist. Returns
    /// the new version.
    virtual void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
                     Callback<std::uint64_t> callback) = 0;

    /// Removes the object if its version is still `expectedVersion`.
    virtual void remove(const std::string &key, std::uint64_t expectedVersion,
                        std::function<void(absl::Status)> callback) = 0;

    /// Returns all objects whose keys begin with `prefix`, and in `nextVersion` the version of the store at that time.
    virtual void list(const std::string &prefix, Callback<StoreChanges> callback) = 0;

    /// Like `list`, but the result may be some seconds old if the store offers that at a lower cost. A watch from the
    /// returned version reports at once what has changed since. If the store no longer has the history from that
    /// version on, call `list`.
    virtual void listRelaxed(const std::string &prefix, Callback<StoreChanges> callback)
    {
        list(prefix, std::move(callback));
    }

    /// Waits for the first change under `prefix` after `fromVersion`. Returns no objects when there was none within the
    /// time limit that the store itself sets. Counts as one call.
    virtual void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) = 0;
};

}
