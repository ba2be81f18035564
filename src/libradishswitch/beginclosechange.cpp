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
        const auto portion = it.portions().find(m_portion);
        m_found = portion == it.portions().end() ? std::nullopt : std::optional(portion->second);
        return it.beginClose(m_portion);
    });
}

const std::optional<PortionRecord> &BeginCloseChange::found() const
{
    return m_found;
}

std::string BeginCloseChange::describe() const
{
    return "begin to close " + m_portion.value() + " of " + m_budget.toString();
}

}
