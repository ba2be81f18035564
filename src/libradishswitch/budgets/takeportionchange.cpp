#include "budgets/takeportionchange.h"

#include <utility>

namespace RadishSwitch
{

TakePortionChange::TakePortionChange(BudgetId budget, PortionRequest request)
    : m_budget(std::move(budget))
    , m_request(std::move(request))
{
}

absl::Status TakePortionChange::apply(LedgerShard &shard)
{
    const absl::Status status = shard.change(m_budget, [this](BudgetRecord &it) {
        const absl::StatusOr<PortionRecord> portion = it.takePortion(m_request);
        m_granted = portion.ok() ? portion->granted : 0;
        return portion.status();
    });
    m_snapshot = snapshotOf(shard, m_budget);
    return status;
}

std::string TakePortionChange::describe() const
{
    return "take " + m_request.portion.value() + " of " + m_budget.toString();
}

const PortionRequest &TakePortionChange::request() const
{
    return m_request;
}

std::int64_t TakePortionChange::granted() const
{
    return m_granted;
}

const BudgetSnapshot &TakePortionChange::snapshot() const
{
    return m_snapshot;
}

}
