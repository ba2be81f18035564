#include "budgets/returnportionchange.h"

#include <utility>

namespace RadishSwitch
{

ReturnPortionChange::ReturnPortionChange(BudgetId budget, PortionId portion, std::int64_t spent)
    : m_budget(std::move(budget))
    , m_portion(std::move(portion))
    , m_spent(spent)
    , m_isWhole(true)
{
}

ReturnPortionChange::ReturnPortionChange(BudgetId budget, PortionId portion, std::int64_t spent, std::uint64_t sequence,
                                         std::int64_t keep)
    : m_budget(std::move(budget))
    , m_portion(std::move(portion))
    , m_spent(spent)
    , m_sequence(sequence)
    , m_keep(keep)
    , m_isWhole(false)
{
}

absl::Status ReturnPortionChange::apply(LedgerShard &shard)
{
    return shard.change(m_budget, [this](BudgetRecord &it) {
        if (m_isWhole) {
            return it.returnPortion(m_portion, m_spent);
        }
        return it.returnPart(m_portion, m_sequence, m_spent, m_keep);
    });
}

std::string ReturnPortionChange::describe() const
{
    return (m_isWhole ? "return " : "lower ") + m_portion.value() + " of " + m_budget.toString();
}

}
