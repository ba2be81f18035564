#pragma once

#include "requesthistory.h"
#include "truthrecords.h"

#include <cstdint>
#include <map>
#include <string>

namespace RadishSwitch
{

/// Whether what was spent, billed and refused fits what was paid. All amounts are tokens, summed over the budgets.
struct SpendTruth {
    std::int64_t paidTokens = 0;
    /// What the endpoints spent on the organisations' requests. See RequestHistory::spentTokens().
    std::int64_t spentTokens = 0;
    /// Spent beyond what was paid, budget by budget.
    std::int64_t overspendTokens = 0;
    /// Settled and open in the ledger beyond what was paid.
    std::int64_t overdrawnTokens = 0;
    /// Difference between what the scenario paid and what the ledger has as paid.
    std::int64_t paidMismatchTokens = 0;
    std::int64_t billedTokens = 0;
    /// What whole answers told their callers, each request once.
    std::int64_t toldTokens = 0;
    /// Billed beyond what was told, and beyond what requests without an answer really cost.
    std::int64_t doubleBilledTokens = 0;
    /// The fewest bills too many that explain it.
    std::int64_t doubleBilled = 0;
    /// Told and neither billed nor withheld.
    std::int64_t unbilledTokens = 0;
    /// Granted in portions that are still in the ledger, and not reported as spent.
    std::int64_t withheldTokens = 0;
    /// Requests refused for lack of budget where what was paid less what was truly spent covered their worst case, or
    /// for the fleet's own troubles while money and a healthy endpoint were there.
    std::int64_t falseRefusals = 0;
    std::map<std::string, std::int64_t> falseRefusalsByCode;
    /// The same, held against what the requests would really have cost, which nobody can know before.
    std::int64_t falseRefusalsAtTrueCost = 0;
    std::int64_t refusals = 0;

    bool operator==(const SpendTruth &) const = default;
};

SpendTruth computeSpendTruth(const TruthRecords &records, const RequestHistories &histories);

}
