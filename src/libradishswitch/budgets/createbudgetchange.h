#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Creates an empty budget; an existing budget stays unchanged.
class CreateBudgetChange : public LedgerChange
{
public:
    CreateBudgetChange(BudgetId budget, std::string operatorName, std::int64_t atMilliseconds);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

private:
    BudgetId m_budget;
    std::string m_operatorName;
    std::int64_t m_atMilliseconds;
};

}
