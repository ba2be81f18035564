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

/// One object of the platform's service, as it was read.
struct StoredObject {
    std::string key;
    std::string value;
    /// Grows with every write of the service, over all objects. Zero stands for "no such object".
    std::uint64_t version = 0;

    bool operator==(const StoredObject &) const = default;
};

/// What a watch reports: the changed objects, with the version from which to watch on. An object that was removed has
/// version zero.
struct StoreChanges {
    std::vector<StoredObject> objects;
    std::uint64_t nextVersion = 0;
};

/// The platform's object API: versions, conditional updates, watches. Values up to a megabyte.
///
/// Errors: StoreUnavailable when the call certainly had no effect; StoreTimeout when it may have had one (the answer
/// was lost or late), so that a writer must read back; VersionConflict, ObjectMissing, ObjectTooLarge as named.
/// Callbacks may come on any thread, never from inside the call itself.
class ObjectStore
{
public:
    template<typename T>
    using Callback = std::function<void(absl::StatusOr<T>)>;

    virtual ~ObjectStore() = default;

    virtual void get(const std::string &key, Callback<StoredObject> callback) = 0;

    /// Writes if the object's version still is `expectedVersion`; zero means that it must not exist. Gives the new
    /// version.
    virtual void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
                     Callback<std::uint64_t> callback) = 0;

    /// Removes the object if its version still is `expectedVersion`.
    virtual void remove(const std::string &key, std::uint64_t expectedVersion,
                        std::function<void(absl::Status)> callback) = 0;

    /// All objects whose keys begin with `prefix`, with the version of the service at that moment in `nextVersion`.
    virtual void list(const std::string &prefix, Callback<StoreChanges> callback) = 0;

    /// The same, perhaps as it was some seconds ago, where the store gives that at a lower price. A watch from its
    /// version tells at once what has changed since. A store that has forgotten so much history has to be listed.
    virtual void listRelaxed(const std::string &prefix, Callback<StoreChanges> callback)
    {
        list(prefix, std::move(callback));
    }

    /// Waits for the first change under `prefix` after `fromVersion`; answers with no objects when none came within
    /// the service's own bound. Counts as one call.
    virtual void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) = 0;
};

}
