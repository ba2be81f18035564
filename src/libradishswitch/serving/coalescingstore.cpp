#include "serving/coalescingstore.h"

namespace RadishSwitch
{

void CoalescingStore::list(const std::string &prefix, Callback<StoreChanges> callback)
{
    const Question question{prefix, std::nullopt};
    if (join(question, std::move(callback))) {
        store().list(prefix, answerTo(question));
    }
}

void CoalescingStore::watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    const Question question{prefix, fromVersion};
    if (join(question, std::move(callback))) {
        store().watch(prefix, fromVersion, answerTo(question));
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
