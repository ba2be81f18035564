#include "budgets/finishclosechange.h"

#include <utility>

namespace RadishSwitch
{

FinishCloseChange::FinishCloseChange(BudgetId budget, PortionId portion, std::int64_t proved)
    : m_budget(std::move(budget))
    , m_portion(std::move(portion))
    , m_proved(proved)
{
}

absl::Status FinishCloseChange::apply(LedgerShard &shard)
{
    return shard.change(m_budget, [&](BudgetRecord &it) {
        return it.finishClose(m_portion, m_proved);
    });
}

std::string FinishCloseChange::describe() const
{
    return "finish closing " + m_portion.value() + " of " + m_budget.toString();
}

}
