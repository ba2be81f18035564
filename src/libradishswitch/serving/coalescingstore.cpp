#include "serving/coalescingstore.h"

namespace RadishSwitch
{

CoalescingStore::CoalescingStore(ObjectStore &store)
    : m_store(store)
{
}

void CoalescingStore::get(const std::string &key, Callback<StoredObject> callback)
{
    m_store.get(key, std::move(callback));
}

void CoalescingStore::put(const std::string &key, std::string value, std::uint64_t expectedVersion,
                          Callback<std::uint64_t> callback)
{
    m_store.put(key, std::move(value), expectedVersion, std::move(callback));
}

void CoalescingStore::remove(const std::string &key, std::uint64_t expectedVersion,
                             std::function<void(absl::Status)> callback)
{
    m_store.remove(key, expectedVersion, std::move(callback));
}

void CoalescingStore::list(const std::string &prefix, Callback<StoreChanges> callback)
{
    const Question question{prefix, std::nullopt};
    if (join(question, std::move(callback))) {
        m_store.list(prefix, answerTo(question));
    }
}

void CoalescingStore::watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    const Question question{prefix, fromVersion};
    if (join(question, std::move(callback))) {
        m_store.watch(prefix, fromVersion, answerTo(question));
    }
}

bool CoalescingStore::join(const Question &question, Callback<StoreChanges> callback)
{
    std::vector<Callback<StoreChanges>> &waiting = (*m_asking)[question];
    waiting.push_back(std::move(callback));
    return waiting.size() == 1;
}

ObjectStore::Callback<StoreChanges> CoalescingStore::answerTo(const Question &question)
{
    return [question, asking = m_asking](const absl::StatusOr<StoreChanges> &changes) {
        // Those that ask again from their callbacks want news from after this answer.
        const auto node = asking->extract(question);
        for (const Callback<StoreChanges> &callback : node.mapped()) {
            callback(changes);
        }
    };
}

}
