#pragma once

#include "budgets/ledgereditor.h"
#include "fleetlist.h"
#include "output.h"
#include "table/tabledocument.h"

#include <optional>
#include <vector>

namespace RadishSwitch
{

/// The fleet at one moment, from what its processes told.
class StatusReport
{
public:
    StatusReport(const TableDocument &table, std::vector<InstanceStatus> statuses);

    /// Adds the sums of the budgets.
    void setBudgets(const std::vector<BudgetSummary> &budgets);

    void print(Output &output) const;

private:
    Sheet instances() const;
    Sheet pools() const;
    Sheet refusals() const;
    Sheet budgets() const;
    nlohmann::json fewestEligible(const std::string &pool) const;

    std::uint64_t m_revision;
    std::vector<PoolRow> m_pools;
    std::vector<InstanceStatus> m_statuses;
    /// The sums of all budgets; nothing when they were not read.
    std::optional<BudgetSummary> m_budgets;
    std::size_t m_budgetCount = 0;
};

}
