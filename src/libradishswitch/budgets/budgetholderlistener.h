#pragma once

#include "budgets/budgetsnapshot.h"
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
    virtual void handleExhausted(const BudgetId &budget, const BudgetSnapshot &snapshot) = 0;

    /// A portion was taken, or has grown by `tokens`.
    virtual void handleTaken(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens,
                             const BudgetSnapshot &snapshot) = 0;

    /// `tokens` of a portion, unspent, are on their way back to the ledger.
    virtual void handleReturned(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens) = 0;
};

}
