#include "budgets/reportspendchange.h"

#include <utility>

namespace RadishSwitch
{

ReportSpendChange::ReportSpendChange(BudgetId budget, PortionId portion, std::int64_t spent)
    : m_budget(std::move(budget))
    , m_portion(std::move(portion))
    , m_spent(spent)
{
}

absl::Status ReportSpendChange::apply(LedgerShard &shard)
{
    const absl::Status status = shard.change(m_budget, [&](BudgetRecord &it) {
        return it.reportSpend(m_portion, m_spent);
    });
    m_snapshot = snapshotOf(shard, m_budget);
    return status;
}

std::string ReportSpendChange::describe() const
{
    return "report spending of " + m_portion.value() + " of " + m_budget.toString();
}

const BudgetSnapshot &ReportSpendChange::snapshot() const
{
    return m_snapshot;
}

}
