#include "budgets/topupchange.h"

#include "base/failure.h"

#include <utility>

namespace RadishSwitch
{

TopUpChange::TopUpChange(BudgetId budget, PaymentId payment, std::int64_t tokens, std::string operatorName,
                         std::int64_t atMilliseconds)
    : m_budget(std::move(budget))
    , m_payment(std::move(payment))
    , m_tokens(tokens)
    , m_operatorName(std::move(operatorName))
    , m_atMilliseconds(atMilliseconds)
{
}

absl::Status TopUpChange::apply(LedgerShard &shard)
{
    if (!isStorableName(m_payment.value())) {
        return makeFailure(FailureCode::InvalidRequest, "invalid payment id");
    }
    const BudgetRecord *record = shard.find(m_budget);
    const bool isBooked = record && record->topUps().contains(m_payment);
    const TopUpRecord topUp{m_tokens, m_operatorName, m_atMilliseconds};
    const absl::Status status = shard.change(m_budget, [&](BudgetRecord &it) {
        return it.topUp(m_payment, topUp);
    });
    if (status.ok() && !isBooked) {
        shard.addAudit({m_atMilliseconds, m_operatorName, "top-up", m_budget, m_payment.value(), m_tokens});
    }
    return status;
}

std::string TopUpChange::describe() const
{
    return "top up " + m_budget.toString() + " by payment " + m_payment.value();
}

}
