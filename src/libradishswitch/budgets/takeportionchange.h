#pragma once

#include "budgets/budgetsnapshot.h"
#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Creates or grows a holder's portion as far as tokens are free. Fails as BudgetRecord::takePortion.
class TakePortionChange : public LedgerChange
{
public:
    TakePortionChange(BudgetId budget, PortionRequest request);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

    const PortionRequest &request() const;

    /// Tokens granted to the portion in total after the change; zero when the portion was not created.
    std::int64_t granted() const;

    /// The amounts of the budget after the change.
    const BudgetSnapshot &snapshot() const;

private:
    BudgetId m_budget;
    PortionRequest m_request;
    std::int64_t m_granted = 0;
    BudgetSnapshot m_snapshot;
};

}
