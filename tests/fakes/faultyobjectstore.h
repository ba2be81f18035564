#pragma once

#include "memoryobjectstore.h"

#include <deque>
#include <optional>

/// A store in memory seen through a bad path: reads from the past, calls that vanish, writes that arrive late.
class FaultyObjectStore : public RadishSwitch::ObjectStore
{
public:
    using StoredObject = RadishSwitch::StoredObject;
    using StoreChanges = RadishSwitch::StoreChanges;

    explicit FaultyObjectStore(MemoryObjectStore &store, RadishSwitch::TaskQueue &tasks)
        : m_store(store)
        , m_tasks(tasks)
    {
    }

    /// From now on reads and lists answer with the objects as they are at this moment.
    void freezeReads()
    {
        m_past = m_store.objects();
    }

    void thawReads()
    {
        m_past.reset();
    }

    /// While silent, calls neither reach the store nor are answered.
    void setSilent(bool silent)
    {
        m_isSilent = silent;
    }

    /// The next write does not reach the store; its writer is told that its outcome is unknown. `deliverHeldWrites`
    /// lets it arrive.
    void holdNextWrite()
    {
        m_holdsNextWrite = true;
    }

    void deliverHeldWrites()
    {
        for (const auto &write : std::exchange(m_heldWrites, {})) {
            write();
        }
    }

    /// Answers lists and watches with these bytes instead.
    void forgeLists(std::string key, std::string value, std::uint64_t version)
    {
        m_forged = StoredObject{std::move(key), std::move(value), version};
    }

    int watches() const
    {
        return m_watches;
    }

    int lists() const
    {
        return m_lists;
    }

    void get(const std::string &key, Callback<StoredObject> callback) override
    {
        if (m_isSilent) {
            return;
        }
        if (!m_past) {
            return m_store.get(key, std::move(callback));
        }
        const auto it = m_past->find(key);
        const absl::StatusOr<StoredObject> answer = it == m_past->end()
            ? absl::StatusOr<StoredObject>(RadishSwitch::makeFailure(RadishSwitch::FailureCode::ObjectMissing, key))
            : absl::StatusOr<StoredObject>(it->second);
        m_tasks.post([callback, answer] {
            callback(answer);
        });
    }

    void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
             Callback<std::uint64_t> callback) override
    {
        if (m_isSilent) {
            return;
        }
        if (!std::exchange(m_holdsNextWrite, false)) {
            return m_store.put(key, std::move(value), expectedVersion, std::move(callback));
        }
        m_heldWrites.push_back([this, key, value, expectedVersion] {
            m_store.put(key, value, expectedVersion, [](const auto &) {});
        });
        m_tasks.post([callback] {
            callback(RadishSwitch::makeFailure(RadishSwitch::FailureCode::StoreTimeout, "held"));
        });
    }

    void remove(const std::string &key, std::uint64_t expectedVersion,
                std::function<void(absl::Status)> callback) override
    {
        m_store.remove(key, expectedVersion, std::move(callback));
    }

    void list(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        ++m_lists;
        if (m_isSilent) {
            return;
        }
        if (!m_forged && !m_past) {
            return m_store.list(prefix, std::move(callback));
        }
        answerOldNews(prefix, std::move(callback));
    }

    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override
    {
        ++m_watches;
        if (m_isSilent) {
            return;
        }
        if (!m_forged && !m_past) {
            return m_store.watch(prefix, fromVersion, std::move(callback));
        }
        answerOldNews(prefix, std::move(callback));
    }

private:
    void answerOldNews(const std::string &prefix, Callback<StoreChanges> callback)
    {
        StoreChanges changes;
        if (m_forged) {
            changes.objects.push_back(*m_forged);
            changes.nextVersion = m_forged->version;
        } else {
            for (const auto &[key, object] : *m_past) {
                if (key.starts_with(prefix)) {
                    changes.objects.push_back(object);
                    changes.nextVersion = std::max(changes.nextVersion, object.version);
                }
            }
        }
        m_tasks.post([callback = std::move(callback), changes] {
            callback(changes);
        });
    }

    MemoryObjectStore &m_store;
    RadishSwitch::TaskQueue &m_tasks;
    std::optional<std::map<std::string, StoredObject>> m_past;
    std::optional<StoredObject> m_forged;
    std::deque<std::function<void()>> m_heldWrites;
    bool m_isSilent = false;
    bool m_holdsNextWrite = false;
    int m_watches = 0;
    int m_lists = 0;
};
