#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Withholds the unproved tokens of a portion that is being closed.
class WithholdChange : public LedgerChange
{
public:
    WithholdChange(BudgetId budget, PortionId portion, std::int64_t proved, std::optional<std::int64_t> unproved,
                   std::string reason, std::vector<std::string> missingAgents);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

private:
    BudgetId m_budget;
    PortionId m_portion;
    std::int64_t m_proved;
    std::optional<std::int64_t> m_unproved;
    std::string m_reason;
    std::vector<std::string> m_missingAgents;
};

}
