#include "budgets/withholdchange.h"

#include <utility>

namespace RadishSwitch
{

WithholdChange::WithholdChange(BudgetId budget, PortionId portion, std::int64_t proved,
                               std::optional<std::int64_t> unproved, std::string reason,
                               std::vector<std::string> missingAgents)
    : m_budget(std::move(budget))
    , m_portion(std::move(portion))
    , m_proved(proved)
    , m_unproved(unproved)
    , m_reason(std::move(reason))
    , m_missingAgents(std::move(missingAgents))
{
}

absl::Status WithholdChange::apply(LedgerShard &shard)
{
    return shard.change(m_budget, [&](BudgetRecord &it) {
        return it.withhold(m_portion, m_proved, m_unproved, m_reason, m_missingAgents);
    });
}

std::string WithholdChange::describe() const
{
    return "withhold " + m_portion.value() + " of " + m_budget.toString();
}

}
