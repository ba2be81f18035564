#pragma once

#include "base/failure.h"
#include "base/objectstore.h"
#include "base/taskqueue.h"

#include <map>
#include <utility>
#include <vector>

/// The platform's object store in memory, with the faults of the real one: it can be unavailable, lose answers after a
/// write took effect, or not answer at all. All answers go through the task queue.
class MemoryObjectStore : public RadishSwitch::ObjectStore
{
public:
    using StoredObject = RadishSwitch::StoredObject;
    using StoreChanges = RadishSwitch::StoreChanges;
    using FailureCode = RadishSwitch::FailureCode;

    explicit MemoryObjectStore(RadishSwitch::TaskQueue &tasks)
        : m_tasks(tasks)
    {
    }

    /// While unavailable, every call fails with StoreUnavailable and has no effect.
    void setUnavailable(bool isUnavailable)
    {
        m_isUnavailable = isUnavailable;
    }

    /// While silent, calls take effect but are never answered.
    void setSilent(bool silent)
    {
        m_isSilent = silent;
    }

    /// The next `n` writes take effect, but their answers are lost: the writer gets StoreTimeout.
    void loseAnswersOfNextWrites(int n)
    {
        m_lostAnswers = n;
    }

    /// The watches that are waiting now are never answered, as when a proxy between the two ends has lost track of the
    /// connection.
    void dropWatches()
    {
        m_watchers.clear();
    }

    int calls() const
    {
        return m_calls;
    }

    int writes() const
    {
        return m_writes;
    }

    const std::map<std::string, StoredObject> &objects() const
    {
        return m_objects;
    }

    void get(const std::string &key, Callback<StoredObject> callback) override
    {
        ++m_calls;
        if (m_isUnavailable) {
            return answer(std::move(callback), unavailable());
        }
        const auto it = m_objects.find(key);
        if (it == m_objects.end()) {
            return answer(std::move(callback), RadishSwitch::makeFailure(FailureCode::ObjectMissing, key));
        }
        answer(std::move(callback), absl::StatusOr<StoredObject>(it->second));
    }

    void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
             Callback<std::uint64_t> callback) override
    {
        ++m_calls;
        if (m_isUnavailable) {
            return answer(std::move(callback), unavailable());
        }
        const auto it = m_objects.find(key);
        const std::uint64_t present = it == m_objects.end() ? 0 : it->second.version;
        if (present != expectedVersion) {
            return answer(std::move(callback), RadishSwitch::makeFailure(FailureCode::VersionConflict, key));
        }
        ++m_writes;
        m_objects[key] = StoredObject{key, std::move(value), ++m_version};
        notifyWatchers(key);
        if (m_lostAnswers > 0) {
            --m_lostAnswers;
            return answer(std::move(callback), RadishSwitch::makeFailure(FailureCode::StoreTimeout, key));
        }
        answer(std::move(callback), absl::StatusOr<std::uint64_t>(m_version));
    }

    void remove(const std::string &key, std::uint64_t expectedVersion,
                std::function<void(absl::Status)> callback) override
    {
        ++m_calls;
        absl::Status status;
        const auto it = m_objects.find(key);
        if (m_isUnavailable) {
            status = unavailable();
        } else if (it == m_objects.end()) {
            status = RadishSwitch::makeFailure(FailureCode::ObjectMissing, key);
        } else if (it->second.version != expectedVersion) {
            status = RadishSwitch::makeFailure(FailureCode::VersionConflict, key);
        } else {
            m_objects.erase(it);
            m_removed[key] = ++m_version;
            ++m_writes;
            notifyWatchers(key);
        }
        m_tasks.post([callback = std::move(callback), status] {
            callback(status);
        });
    }

    void list(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        ++m_calls;
        if (m_isUnavailable) {
            return answer(std::move(callback), unavailable());
        }
        answer(std::move(callback), absl::StatusOr<StoreChanges>(changesAfter(prefix, 0)));
    }

    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override
    {
        ++m_calls;
        if (m_isUnavailable) {
            return answer(std::move(callback), unavailable());
        }
        StoreChanges changes = changesAfter(prefix, fromVersion);
        if (!changes.objects.empty()) {
            return answer(std::move(callback), absl::StatusOr<StoreChanges>(std::move(changes)));
        }
        m_watchers.push_back({prefix, fromVersion, std::move(callback)});
    }

private:
    struct Watcher {
        std::string prefix;
        std::uint64_t fromVersion;
        Callback<StoreChanges> callback;
    };

    static absl::Status unavailable()
    {
        return RadishSwitch::makeFailure(FailureCode::StoreUnavailable, "the store is away");
    }

    template<typename T, typename Answer>
    void answer(std::function<void(absl::StatusOr<T>)> callback, Answer answer)
    {
        if (m_isSilent) {
            return;
        }
        m_tasks.post([callback = std::move(callback), answer = absl::StatusOr<T>(std::move(answer))] {
            callback(answer);
        });
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
            const bool isNews = fromVersion > 0 && version > fromVersion && !m_objects.contains(key);
            if (isNews && key.starts_with(prefix)) {
                changes.objects.push_back({key, std::string(), 0});
            }
        }
        return changes;
    }

    void notifyWatchers(const std::string &key)
    {
        std::vector<Watcher> waiting = std::exchange(m_watchers, {});
        for (Watcher &watcher : waiting) {
            if (key.starts_with(watcher.prefix)) {
                answer(std::move(watcher.callback),
                       absl::StatusOr<StoreChanges>(changesAfter(watcher.prefix, watcher.fromVersion)));
            } else {
                m_watchers.push_back(std::move(watcher));
            }
        }
    }

    RadishSwitch::TaskQueue &m_tasks;
    std::map<std::string, StoredObject> m_objects;
    /// The version at which each removed object was removed.
    std::map<std::string, std::uint64_t> m_removed;
    std::vector<Watcher> m_watchers;
    std::uint64_t m_version = 0;
    bool m_isUnavailable = false;
    bool m_isSilent = false;
    int m_lostAnswers = 0;
    int m_calls = 0;
    int m_writes = 0;
};
