#pragma once

#include "budgets/budgetsnapshot.h"
#include "budgets/heldbudget.h"
#include "budgets/reservation.h"

#include <cstdint>

namespace RadishSwitch
{

/// Receives events about the portions of a holder, for logging. The holder calls the methods synchronously; they must
/// not call back into the holder.
class BudgetHolderListener
{
public:
    virtual ~BudgetHolderListener() = default;

    /// The ledger has too few free tokens left for the next request.
    virtual void handleExhausted(const BudgetId &budget, const BudgetSnapshot &snapshot) = 0;

    /// A portion was taken, or an existing one has grown by `tokens`.
    virtual void handleTaken(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens,
                             const BudgetSnapshot &snapshot) = 0;

    /// The holder has started to return `tokens` unspent tokens of a portion to the ledger.
    virtual void handleReturned(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens) = 0;
};

}
