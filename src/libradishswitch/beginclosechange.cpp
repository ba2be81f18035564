#include "beginclosechange.h"

#include <utility>

namespace RadishSwitch
{

BeginCloseChange::BeginCloseChange(BudgetId budget, PortionId portion)
    : m_budget(std::move(budget))
    , m_portion(std::move(portion))
{
}

absl::Status BeginCloseChange::apply(LedgerShard &shard)
{
    return shard.change(m_budget, [&](BudgetRecord &it) {
        return it.beginClose(m_portion);
    });
}

std::string BeginCloseChange::describe() const
{
    return "begin to close " + m_portion.value() + " of " + m_budget.toString();
}

}
