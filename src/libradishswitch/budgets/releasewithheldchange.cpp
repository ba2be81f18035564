#include "budgets/releasewithheldchange.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

ReleaseWithheldChange::ReleaseWithheldChange(BudgetId budget, PortionId portion, std::string operatorName,
                                             std::string reason, std::int64_t atMilliseconds)
    : m_budget(std::move(budget))
    , m_entry{atMilliseconds, std::move(operatorName), "release", m_budget, portion.value() + ": " + reason, 0}
    , m_portion(std::move(portion))
{
}

absl::Status ReleaseWithheldChange::apply(LedgerShard &shard)
{
    if (isReleased(shard)) {
        return absl::OkStatus();
    }
    LedgerAuditEntry entry = m_entry;
    const absl::Status status = shard.change(m_budget, [&](BudgetRecord &it) {
        const auto portion = it.portions().find(m_portion);
        if (portion != it.portions().end()) {
            entry.tokens = portion->second.granted - portion->second.spent;
        }
        return it.releaseWithheld(m_portion);
    });
    if (status.ok()) {
        shard.addAudit(std::move(entry));
    }
    return status;
}

bool ReleaseWithheldChange::isReleased(const LedgerShard &shard) const
{
    return std::any_of(shard.audit().begin(), shard.audit().end(), [this](const LedgerAuditEntry &it) {
        return it.action == m_entry.action && it.budget == m_budget && it.subject == m_entry.subject;
    });
}

std::string ReleaseWithheldChange::describe() const
{
    return "release " + m_portion.value() + " of " + m_budget.toString();
}

}
