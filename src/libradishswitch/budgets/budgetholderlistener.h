#pragma once

#include "budgets/budgetglance.h"
#include "budgets/heldbudget.h"
#include "budgets/reservation.h"

#include <cstdint>

namespace RadishSwitch
{

/// Told what a holder does with portions of budgets, for logs. Called inside the holder; it must not call back into it.
class BudgetHolderListener
{
public:
    virtual ~BudgetHolderListener() = default;

    /// Too little is left in the ledger for the next request.
    virtual void handleRunDry(const BudgetId &budget, const BudgetGlance &glance) = 0;

    /// A portion was taken, or has grown by `tokens`.
    virtual void handleTaken(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens,
                             const BudgetGlance &glance) = 0;

    /// `tokens` of a portion, unspent, are on their way back to the ledger.
    virtual void handleGivenBack(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens) = 0;
};

}
