#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Books a payment; a payment that is submitted twice counts once. Fails as BudgetRecord::topUp.
class TopUpChange : public LedgerChange
{
public:
    TopUpChange(BudgetId budget, PaymentId payment, std::int64_t tokens, std::string operatorName,
                std::int64_t atMilliseconds);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

private:
    BudgetId m_budget;
    PaymentId m_payment;
    std::int64_t m_tokens;
    std::string m_operatorName;
    std::int64_t m_atMilliseconds;
};

}
