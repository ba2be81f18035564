#include "budgets/withholdpartchange.h"

#include <utility>

namespace RadishSwitch
{

WithholdPartChange::WithholdPartChange(BudgetId budget, PortionId portion, std::uint64_t sequence, std::int64_t tokens,
                                       std::string reason, std::int64_t atMilliseconds)
    : m_budget(std::move(budget))
    , m_portion(std::move(portion))
    , m_sequence(sequence)
    , m_tokens(tokens)
    , m_reason(std::move(reason))
    , m_atMilliseconds(atMilliseconds)
{
}

absl::Status WithholdPartChange::apply(LedgerShard &shard)
{
    const PortionId part(m_portion.value() + "-part-" + std::to_string(m_sequence));
    return shard.change(m_budget, [&](BudgetRecord &it) {
        return it.withholdPart(m_portion, m_sequence, part, m_tokens, m_reason, m_atMilliseconds);
    });
}

std::string WithholdPartChange::describe() const
{
    return "withhold " + std::to_string(m_tokens) + " of " + m_portion.value() + " of " + m_budget.toString();
}

}
