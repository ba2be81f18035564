#include "serving/coalescingstore.h"

namespace RadishSwitch
{

void CoalescingStore::list(const std::string &prefix, Callback<StoreChanges> callback)
{
    const Query query{prefix, std::nullopt};
    if (join(query, std::move(callback))) {
        store().list(prefix, makeAnswerCallback(query));
    }
}

void CoalescingStore::watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    const Query query{prefix, fromVersion};
    if (join(query, std::move(callback))) {
        store().watch(prefix, fromVersion, makeAnswerCallback(query));
    }
}

bool CoalescingStore::join(const Query &query, Callback<StoreChanges> callback)
{
    std::vector<Callback<StoreChanges>> &waiting = (*m_pending)[query];
    waiting.push_back(std::move(callback));
    return waiting.size() == 1;
}

ObjectStore::Callback<StoreChanges> CoalescingStore::makeAnswerCallback(const Query &query)
{
    return [query, pending = m_pending](const absl::StatusOr<StoreChanges> &changes) {
        // Callbacks that call again want changes made after this answer, so they must not join the call that has just
        // ended.
        const auto node = pending->extract(query);
        for (const Callback<StoreChanges> &callback : node.mapped()) {
            callback(changes);
        }
    };
}

}
