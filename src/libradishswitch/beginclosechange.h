#pragma once

#include "ledgerchange.h"

namespace RadishSwitch
{

/// Takes a portion away from its holder, before the agents are asked what it spent.
class BeginCloseChange : public LedgerChange
{
public:
    BeginCloseChange(BudgetId budget, PortionId portion);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

    /// The portion as it was found; nothing when it is closed already.
    const std::optional<PortionRecord> &found() const;

private:
    BudgetId m_budget;
    PortionId m_portion;
    std::optional<PortionRecord> m_found;
};

}
