#include "spendtruth.h"

#include "base/failure.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <set>
#include <vector>

namespace RadishSwitch
{

namespace
{

/// What happened to one budget.
struct BudgetHistory {
    std::vector<const RequestHistory *> requests;
    std::vector<const ScenarioEvent *> topUps;
    LedgerBudget ledger;

    std::int64_t paidAt(std::int64_t time) const;
    std::int64_t spentBy(std::int64_t time) const;
};

std::int64_t BudgetHistory::paidAt(std::int64_t time) const
{
    std::int64_t tokens = 0;
    for (const ScenarioEvent *it : topUps) {
        tokens += it->time <= time ? it->tokens : 0;
    }
    return tokens;
}

std::int64_t BudgetHistory::spentBy(std::int64_t time) const
{
    std::int64_t tokens = 0;
    for (const RequestHistory *request : requests) {
        const bool isBegun = std::any_of(request->work.begin(), request->work.end(), [&](const WorkRecord *it) {
            return it->startTime <= time;
        });
        tokens += isBegun ? request->spentTokens() : 0;
    }
    return tokens;
}

using BudgetHistories = std::map<std::string, BudgetHistory>;

BudgetHistories collect(const TruthRecords &records, const RequestHistories &histories)
{
    BudgetHistories budgets;
    for (const LedgerBudget &it : records.ledger) {
        budgets[it.name].ledger = it;
    }
    for (const ScenarioEvent &it : records.events) {
        if (it.kind == ScenarioEventKind::TopUp) {
            budgets[it.subject].topUps.push_back(&it);
        }
    }
    for (const auto &[id, request] : histories.requests()) {
        if (request.first().kind == CallKind::Chat) {
            budgets[request.first().budget].requests.push_back(&request);
        }
    }
    return budgets;
}

void addLedger(SpendTruth &truth, const BudgetHistory &budget, std::int64_t paid)
{
    std::int64_t billed = budget.ledger.settled;
    std::int64_t open = 0;
    for (const LedgerPortion &it : budget.ledger.portions) {
        billed += it.spent;
        open += it.granted;
        truth.withheldTokens += it.granted - it.spent;
    }
    truth.billedTokens += billed;
    truth.overdrawnTokens += std::max<std::int64_t>(0, budget.ledger.settled + open - paid);
    truth.paidMismatchTokens += std::abs(budget.ledger.paid - paid);

    std::int64_t told = 0;
    std::int64_t largest = 1;
    std::int64_t spentWithoutAnswer = 0;
    for (const RequestHistory *it : budget.requests) {
        const std::int64_t tokens = it->toldTokens();
        told += tokens;
        largest = std::max(largest, tokens);
        spentWithoutAnswer += tokens == 0 ? it->spentTokens() : 0;
    }
    truth.toldTokens += told;
    const std::int64_t excess = std::max<std::int64_t>(0, billed - told - spentWithoutAnswer);
    truth.doubleBilledTokens += excess;
    truth.doubleBilled += (excess + largest - 1) / largest;
    const std::int64_t unproved = budget.ledger.settled + open - billed;
    truth.unbilledTokens += std::max<std::int64_t>(0, told - billed - unproved);
}

bool isHealthyEndpointAt(const TruthRecords &records, std::int64_t time)
{
    std::set<std::string> healthy;
    bool isKnown = false;
    for (const ScenarioEvent &it : records.events) {
        if (it.kind == ScenarioEventKind::EndpointUp) {
            isKnown = true;
        }
        if (it.time > time) {
            continue;
        }
        if (it.kind == ScenarioEventKind::EndpointUp) {
            healthy.insert(it.subject);
        } else if (it.kind == ScenarioEventKind::EndpointDown) {
            healthy.erase(it.subject);
        }
    }
    return !isKnown || !healthy.empty();
}

enum class RefusalGround {
    /// A limit that was set, or too much to do.
    Limit,
    Money,
    Fleet,
};

/// The load asks for nothing that is wrong in itself, so a refusal for that is the fleet's own trouble too.
RefusalGround groundOf(const TryRecord &refusal)
{
    switch (failureFromName(refusal.code).value_or(FailureCode::Internal)) {
    case FailureCode::CeilingReached:
    case FailureCode::RequestTooLarge:
    case FailureCode::Overloaded:
    case FailureCode::DeadlineExceeded:
        return RefusalGround::Limit;
    case FailureCode::BudgetExhausted:
    case FailureCode::BudgetUnknown:
    case FailureCode::BudgetUnavailable:
        return RefusalGround::Money;
    default:
        return RefusalGround::Fleet;
    }
}

bool isFalseRefusal(const TruthRecords &records, const BudgetHistory &budget, const RequestHistory &request,
                    std::int64_t cost)
{
    const TryRecord &refusal = request.last();
    const RefusalGround ground = groundOf(refusal);
    // A request that ran, and whose outcome was left open, was not refused; it is judged as a lost answer. One that
    // never ran was refused, however the refusal put it.
    const bool isOpen = refusal.told == ToldOutcome::Unknown && !request.work.empty();
    if (ground == RefusalGround::Limit || isOpen) {
        return false;
    }
    const std::int64_t left = budget.paidAt(refusal.endTime) - budget.spentBy(refusal.endTime);
    if (refusal.kind == CallKind::Chat && left < cost) {
        return false;
    }
    return ground == RefusalGround::Money || isHealthyEndpointAt(records, refusal.endTime);
}

}

SpendTruth computeSpendTruth(const TruthRecords &records, const RequestHistories &histories)
{
    SpendTruth truth;
    BudgetHistories budgets = collect(records, histories);
    for (const auto &[name, budget] : budgets) {
        const std::int64_t paid = budget.paidAt(std::numeric_limits<std::int64_t>::max());
        std::int64_t spent = 0;
        for (const RequestHistory *it : budget.requests) {
            spent += it->spentTokens();
        }
        truth.paidTokens += paid;
        truth.spentTokens += spent;
        truth.overspendTokens += std::max<std::int64_t>(0, spent - paid);
        addLedger(truth, budget, paid);
    }
    for (const auto &[id, request] : histories.requests()) {
        const TryRecord &last = request.last();
        if (last.outcome != TryOutcome::Refused) {
            continue;
        }
        ++truth.refusals;
        if (isFalseRefusal(records, budgets[last.budget], request, last.trueCostTokens)) {
            ++truth.falseRefusalsAtTrueCost;
        }
        if (isFalseRefusal(records, budgets[last.budget], request, last.worstCaseTokens)) {
            ++truth.falseRefusals;
            ++truth.falseRefusalsByCode[last.code];
        }
    }
    return truth;
}

}
