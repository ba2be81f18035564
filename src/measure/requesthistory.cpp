#include "requesthistory.h"

#include <algorithm>

namespace RadishSwitch
{

const TryRecord &RequestHistory::first() const
{
    return *tries.front();
}

const TryRecord &RequestHistory::last() const
{
    const TryRecord *found = tries.front();
    for (const TryRecord *it : tries) {
        if (it->number < kFirstDuplicateNumber && it->number >= found->number) {
            found = it;
        }
    }
    return *found;
}

bool RequestHistory::isAnswered() const
{
    return last().outcome == TryOutcome::Whole;
}

std::int64_t RequestHistory::toldTokens() const
{
    std::int64_t tokens = 0;
    for (const TryRecord *it : tries) {
        if (it->outcome == TryOutcome::Whole) {
            tokens = std::max(tokens, it->promptTokens + it->completionTokens);
        }
    }
    return tokens;
}

std::int64_t RequestHistory::spentTokens() const
{
    std::int64_t tokens = 0;
    for (const WorkRecord *it : work) {
        tokens += it->completionTokens + (it->continuedTokens == 0 ? it->promptTokens : 0);
    }
    return tokens;
}

RequestHistories::RequestHistories(const TruthRecords &records)
{
    std::map<std::string, std::string> idsByHash;
    for (const TryRecord &it : records.tries) {
        m_requests[it.id].tries.push_back(&it);
        idsByHash[it.contentHash] = it.id;
    }
    for (auto &[id, request] : m_requests) {
        std::sort(request.tries.begin(), request.tries.end(), [](const TryRecord *a, const TryRecord *b) {
            return a->number < b->number;
        });
    }
    for (const WorkRecord &it : records.work) {
        const auto id = idsByHash.find(it.contentHash);
        if (id == idsByHash.end()) {
            ++m_strayWork;
        } else {
            m_requests[id->second].work.push_back(&it);
        }
    }
}

const std::map<std::string, RequestHistory> &RequestHistories::requests() const
{
    return m_requests;
}

std::int64_t RequestHistories::strayWork() const
{
    return m_strayWork;
}

}
