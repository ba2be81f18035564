#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Raises the paid total of a budget to the total in one version of the configuration, and creates the budget if it is
/// missing. Every process that learns of the version submits this change; the ledger books it once. A version that is
/// older than one already booked changes nothing. A total below the booked total leaves the budget unchanged, because
/// tokens that were already granted to holders cannot be revoked.
class AllowanceChange : public LedgerChange
{
public:
    AllowanceChange(BudgetId budget, std::uint64_t version, std::int64_t totalTokens, std::int64_t atMilliseconds);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

private:
    BudgetId m_budget;
    std::uint64_t m_version;
    std::int64_t m_totalTokens;
    std::int64_t m_atMilliseconds;
};

}
