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
    m_found.clear();
    for (const auto &[budget, record] : shard.budgets()) {
        for (const auto &[id, portion] : record.portions()) {
            if (portion.holder == m_holder) {
                m_found.push_back({budget, id, portion});
            }
        }
    }
    for (const Found &it : m_found) {
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

const std::vector<BeginCloseChange::Found> &BeginCloseChange::found() const
{
    return m_found;
}

}
