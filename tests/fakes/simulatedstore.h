#pragma once

#include "base/failure.h"
#include "base/objectstore.h"
#include "simulatedprocess.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

/// The platform's object store as simulated processes reach it: with a delay, not at all while it is down or they are
/// cut off, and with watches that end after a while without a change.
class SimulatedStore
{
public:
    using Duration = RadishSwitch::Duration;
    using StoreChanges = RadishSwitch::StoreChanges;
    using StoredObject = RadishSwitch::StoredObject;

    static constexpr Duration kDelay = std::chrono::milliseconds(4);
    static constexpr Duration kWatchWait = std::chrono::milliseconds(800);
    static constexpr Duration kTimeout = std::chrono::milliseconds(500);

    bool isDown = false;
    /// Writes take effect, but their answers are lost.
    bool losesAnswers = false;

    std::uint64_t write(const std::string &key, std::string value)
    {
        m_removed.erase(key);
        m_objects[key] = {key, std::move(value), ++m_version};
        return m_version;
    }

    void erase(const std::string &key)
    {
        m_objects.erase(key);
        m_removed[key] = ++m_version;
    }

    std::uint64_t versionOf(const std::string &key) const
    {
        const auto it = m_objects.find(key);
        return it == m_objects.end() ? 0 : it->second.version;
    }

    StoreChanges changesAfter(const std::string &prefix, std::uint64_t fromVersion) const
    {
        StoreChanges changes;
        changes.nextVersion = m_version;
        for (const auto &[key, object] : m_objects) {
            if (key.starts_with(prefix) && object.version > fromVersion) {
                changes.objects.push_back(object);
            }
        }
        for (const auto &[key, version] : m_removed) {
            if (fromVersion > 0 && version > fromVersion && key.starts_with(prefix)) {
                changes.objects.push_back({key, std::string(), 0});
            }
        }
        return changes;
    }

private:
    std::map<std::string, StoredObject> m_objects;
    /// The version at which each removed object was removed.
    std::map<std::string, std::uint64_t> m_removed;
    std::uint64_t m_version = 1;
};

/// One process's way to the simulated store.
class SimulatedStoreLink : public RadishSwitch::ObjectStore
{
public:
    using FailureCode = RadishSwitch::FailureCode;
    using Instant = RadishSwitch::Instant;
    using StoreChanges = RadishSwitch::StoreChanges;
    using StoredObject = RadishSwitch::StoredObject;

    /// `isCut` tells whether the process is cut off from the store at this moment.
    SimulatedStoreLink(SimulatedStore &store, SimulatedProcess &process, std::function<bool()> isCut)
        : m_store(store)
        , m_process(process)
        , m_isCut(std::move(isCut))
    {
    }

    void get(const std::string &key, Callback<StoredObject> callback) override
    {
        call<StoredObject>(std::move(callback), [this, key]() -> absl::StatusOr<StoredObject> {
            const StoreChanges found = m_store.changesAfter(key, 0);
            if (found.objects.empty()) {
                return RadishSwitch::makeFailure(FailureCode::ObjectMissing, key);
            }
            return found.objects.front();
        });
    }

    void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
             Callback<std::uint64_t> callback) override
    {
        call<std::uint64_t>(std::move(callback),
                            [this, key, value, expectedVersion]() -> absl::StatusOr<std::uint64_t> {
                                if (m_store.versionOf(key) != expectedVersion) {
                                    return RadishSwitch::makeFailure(FailureCode::VersionConflict, key);
                                }
                                const std::uint64_t version = m_store.write(key, value);
                                if (m_store.losesAnswers) {
                                    return RadishSwitch::makeFailure(FailureCode::StoreTimeout, key);
                                }
                                return version;
                            });
    }

    void remove(const std::string &key, std::uint64_t expectedVersion,
                std::function<void(absl::Status)> callback) override
    {
        const auto answer = [callback = std::move(callback)](const absl::StatusOr<bool> &result) {
            callback(result.status());
        };
        call<bool>(answer, [this, key, expectedVersion]() -> absl::StatusOr<bool> {
            if (m_store.versionOf(key) != expectedVersion) {
                return RadishSwitch::makeFailure(FailureCode::VersionConflict, key);
            }
            m_store.erase(key);
            return true;
        });
    }

    void list(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        call<StoreChanges>(std::move(callback), [this, prefix]() -> absl::StatusOr<StoreChanges> {
            return m_store.changesAfter(prefix, 0);
        });
    }

    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override
    {
        poll(prefix, fromVersion, m_process.now() + SimulatedStore::kWatchWait, std::move(callback));
    }

private:
    bool isReached() const
    {
        return !m_store.isDown && !m_isCut();
    }

    static absl::Status unavailable()
    {
        return RadishSwitch::makeFailure(FailureCode::StoreUnavailable, "the store can't be reached");
    }

    template<typename T>
    void call(Callback<T> callback, std::function<absl::StatusOr<T>()> work)
    {
        if (!isReached()) {
            m_process.after(SimulatedStore::kTimeout, [callback = std::move(callback)] {
                callback(unavailable());
            });
            return;
        }
        m_process.after(SimulatedStore::kDelay, [this, callback = std::move(callback), work = std::move(work)] {
            callback(isReached() ? work() : absl::StatusOr<T>(unavailable()));
        });
    }

    void poll(const std::string &prefix, std::uint64_t fromVersion, Instant end, Callback<StoreChanges> callback)
    {
        m_process.after(SimulatedStore::kDelay, [this, prefix, fromVersion, end, callback = std::move(callback)] {
            if (!isReached()) {
                return callback(unavailable());
            }
            const StoreChanges changes = m_store.changesAfter(prefix, fromVersion);
            if (changes.objects.empty() && m_process.now() < end) {
                return poll(prefix, fromVersion, end, callback);
            }
            callback(changes);
        });
    }

    SimulatedStore &m_store;
    SimulatedProcess &m_process;
    const std::function<bool()> m_isCut;
};
