#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Settles a portion that is being closed, or is withheld, at the charges that the agents reported.
class FinishCloseChange : public LedgerChange
{
public:
    FinishCloseChange(BudgetId budget, PortionId portion, std::int64_t proved);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

private:
    BudgetId m_budget;
    PortionId m_portion;
    std::int64_t m_proved;
};

}
