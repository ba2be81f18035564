#include "budgets/createbudgetchange.h"

#include <utility>

namespace RadishSwitch
{

CreateBudgetChange::CreateBudgetChange(BudgetId budget, std::string operatorName, std::int64_t atMilliseconds)
    : m_budget(std::move(budget))
    , m_operatorName(std::move(operatorName))
    , m_atMilliseconds(atMilliseconds)
{
}

absl::Status CreateBudgetChange::apply(LedgerShard &shard)
{
    const absl::StatusOr<bool> isNew = shard.create(m_budget);
    if (!isNew.ok()) {
        return isNew.status();
    }
    if (*isNew) {
        shard.addAudit({m_atMilliseconds, m_operatorName, "create", m_budget, "", 0});
    }
    return absl::OkStatus();
}

std::string CreateBudgetChange::describe() const
{
    return "create " + m_budget.toString();
}

}
