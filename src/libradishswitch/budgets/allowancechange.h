#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Brings a budget to the total that a version of the configuration says was paid in all, and creates it where it is
/// missing. Every process that learns of the version submits this; it counts once, and a version older than one that
/// was booked changes nothing. A total below what was booked before leaves the budget as it is: what was handed out
/// can't be called back.
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
