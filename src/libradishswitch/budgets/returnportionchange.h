#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Returns tokens of a portion that its holder does not need: all but `keep`, or the whole portion, which ends it.
class ReturnPortionChange : public LedgerChange
{
public:
    /// Ends the portion: `spent` is settled and the rest becomes free.
    ReturnPortionChange(BudgetId budget, PortionId portion, std::int64_t spent);

    /// Lowers the portion to `keep` tokens, which include `spent`.
    ReturnPortionChange(BudgetId budget, PortionId portion, std::int64_t spent, std::uint64_t sequence,
                        std::int64_t keep);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

private:
    BudgetId m_budget;
    PortionId m_portion;
    std::int64_t m_spent;
    std::uint64_t m_sequence = 0;
    std::int64_t m_keep = 0;
    bool m_isWhole;
};

}
