#include "baselines.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace RadishSwitch
{

namespace
{

struct BudgetState {
    std::int64_t spent = 0;
    std::map<std::int64_t, std::int64_t> spentBySide;
};

class Replay
{
public:
    Replay(const TruthRecords &records, const RequestHistories &histories);

    BaselineFigures run();

private:
    std::int64_t paidAt(const std::string &budget, std::int64_t time) const;
    bool isStoreDownAt(std::int64_t time) const;
    std::int64_t sideOf(const std::string &door) const;
    void askSplit(const TryRecord &request, std::int64_t paid);
    void askStore(const TryRecord &request, std::int64_t paid);

    const TruthRecords &m_records;
    std::vector<const TryRecord *> m_requests;
    std::map<std::string, std::int64_t> m_sides;
    std::int64_t m_sideCount = 1;
    std::map<std::string, BudgetState> m_split;
    std::map<std::string, BudgetState> m_store;
    BaselineFigures m_figures;
};

Replay::Replay(const TruthRecords &records, const RequestHistories &histories)
    : m_records(records)
{
    for (const auto &[id, request] : histories.requests()) {
        if (request.first().kind == CallKind::Chat) {
            m_requests.push_back(&request.first());
        }
    }
    std::sort(m_requests.begin(), m_requests.end(), [](const TryRecord *a, const TryRecord *b) {
        return a->startTime < b->startTime;
    });
    for (const ScenarioEvent &it : records.events) {
        if (it.kind == ScenarioEventKind::DoorSide) {
            m_sides[it.subject] = it.tokens;
            m_sideCount = std::max(m_sideCount, it.tokens + 1);
        }
    }
}

BaselineFigures Replay::run()
{
    for (const TryRecord *it : m_requests) {
        const std::int64_t paid = paidAt(it->budget, it->startTime);
        askSplit(*it, paid);
        askStore(*it, paid);
    }
    return m_figures;
}

std::int64_t Replay::paidAt(const std::string &budget, std::int64_t time) const
{
    std::int64_t tokens = 0;
    for (const ScenarioEvent &it : m_records.events) {
        const bool isPayment = it.kind == ScenarioEventKind::TopUp && it.subject == budget;
        tokens += isPayment && it.time <= time ? it.tokens : 0;
    }
    return tokens;
}

bool Replay::isStoreDownAt(std::int64_t time) const
{
    bool isDown = false;
    for (const ScenarioEvent &it : m_records.events) {
        if (it.time <= time && it.kind == ScenarioEventKind::StoreDown) {
            isDown = true;
        } else if (it.time <= time && it.kind == ScenarioEventKind::StoreUp) {
            isDown = false;
        }
    }
    return isDown;
}

std::int64_t Replay::sideOf(const std::string &door) const
{
    const auto it = m_sides.find(door);
    return it == m_sides.end() ? 0 : it->second;
}

void Replay::askSplit(const TryRecord &request, std::int64_t paid)
{
    BudgetState &budget = m_split[request.budget];
    std::int64_t &spentHere = budget.spentBySide[sideOf(request.target)];
    if (paid / m_sideCount - spentHere >= request.worstCaseTokens) {
        spentHere += request.trueCostTokens;
        budget.spent += request.trueCostTokens;
    } else if (paid - budget.spent >= request.worstCaseTokens) {
        ++m_figures.splitFalseRefusals;
    }
}

void Replay::askStore(const TryRecord &request, std::int64_t paid)
{
    BudgetState &budget = m_store[request.budget];
    if (paid - budget.spent < request.worstCaseTokens) {
        return;
    }
    if (isStoreDownAt(request.startTime)) {
        ++m_figures.storeFalseRefusals;
    } else {
        budget.spent += request.trueCostTokens;
    }
}

}

BaselineFigures replayBaselines(const TruthRecords &records, const RequestHistories &histories)
{
    return Replay(records, histories).run();
}

}
