#pragma once

#include "base/objectstore.h"

#include <utility>

namespace RadishSwitch
{

/// A store that forwards every call to another store. Base class of stores that change how some of the calls are made.
class ForwardingStore : public ObjectStore
{
public:
    explicit ForwardingStore(ObjectStore &store)
        : m_store(store)
    {
    }

    void get(const std::string &key, Callback<StoredObject> callback) override
    {
        m_store.get(key, std::move(callback));
    }

    void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
             Callback<std::uint64_t> callback) override
    {
        m_store.put(key, std::move(value), expectedVersion, std::move(callback));
    }

    void remove(const std::string &key, std::uint64_t expectedVersion,
                std::function<void(absl::Status)> callback) override
    {
        m_store.remove(key, expectedVersion, std::move(callback));
    }

    void list(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        m_store.list(prefix, std::move(callback));
    }

    void listRelaxed(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        m_store.listRelaxed(prefix, std::move(callback));
    }

    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override
    {
        m_store.watch(prefix, fromVersion, std::move(callback));
    }

protected:
    ObjectStore &store()
    {
        return m_store;
    }

private:
    ObjectStore &m_store;
};

}
