#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Withholds part of a holder's portion, because the tokens used by the request that reserved them cannot be
/// determined. An operator may release them. Fails with PortionClosed when the portion is closed or gone.
class WithholdPartChange : public LedgerChange
{
public:
    WithholdPartChange(BudgetId budget, PortionId portion, std::uint64_t sequence, std::int64_t tokens,
                       std::string reason, std::int64_t atMilliseconds);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

private:
    BudgetId m_budget;
    PortionId m_portion;
    std::uint64_t m_sequence;
    std::int64_t m_tokens;
    std::string m_reason;
    std::int64_t m_atMilliseconds;
};

}
