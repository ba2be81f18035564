#pragma once

#include "budgets/budgetsnapshot.h"
#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Raises what a portion has spent, and reads how its budget stands. PortionClosed when the portion is closed or
/// gone.
class ReportSpendChange : public LedgerChange
{
public:
    ReportSpendChange(BudgetId budget, PortionId portion, std::int64_t spent);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

    /// How the budget stood when the change was applied.
    const BudgetSnapshot &snapshot() const;

private:
    BudgetId m_budget;
    PortionId m_portion;
    std::int64_t m_spent;
    BudgetSnapshot m_snapshot;
};

}
