#include "budgets/beginclosechange.h"

#include <utility>

namespace RadishSwitch
{

BeginCloseChange::BeginCloseChange(IncarnationId holder)
    : m_holder(std::move(holder))
{
}

absl::Status BeginCloseChange::apply(LedgerShard &shard)
{
    m_closingPortions.clear();
    for (const auto &[budget, record] : shard.budgets()) {
        for (const auto &[id, portion] : record.portions()) {
            if (portion.holder == m_holder) {
                m_closingPortions.push_back({budget, id, portion});
            }
        }
    }
    for (const ClosingPortion &it : m_closingPortions) {
        const absl::Status status = shard.change(it.budget, [&](BudgetRecord &record) {
            return record.beginClose(it.portion);
        });
        if (!status.ok()) {
            return status;
        }
    }
    shard.addFence();
    return absl::OkStatus();
}

std::string BeginCloseChange::describe() const
{
    return "begin to close the portions of " + m_holder.value();
}

const std::vector<BeginCloseChange::ClosingPortion> &BeginCloseChange::closingPortions() const
{
    return m_closingPortions;
}

}
