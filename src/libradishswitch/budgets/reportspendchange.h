#pragma once

#include "budgets/budgetsnapshot.h"
#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Raises the spent amount of a portion, and reads the amounts of its budget. Fails with PortionClosed when the portion
/// is closed or gone.
class ReportSpendChange : public LedgerChange
{
public:
    ReportSpendChange(BudgetId budget, PortionId portion, std::int64_t spent);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

    /// The amounts of the budget when the change was applied.
    const BudgetSnapshot &snapshot() const;

private:
    BudgetId m_budget;
    PortionId m_portion;
    std::int64_t m_spent;
    BudgetSnapshot m_snapshot;
};

}
