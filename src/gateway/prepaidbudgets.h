#pragma once

#include "budgetholder.h"
#include "serving/servingconfiguration.h"

#include <absl/container/flat_hash_map.h>

namespace RadishSwitch
{

/// The prepaid budgets of organisations, one each, as calls reserve against them: the ledger's portions, and the totals
/// that the configuration says were paid.
class PrepaidBudgets
{
public:
    PrepaidBudgets(Ledger &ledger, BudgetHolder &holder, TimerService &timers);

    /// Books what a newer configuration says was paid.
    void applyConfiguration(const ServingConfiguration &configuration);

    /// Sets tokens aside for a call; the callback comes through the task queue. Errors as BudgetHolder::reserve.
    void reserve(const RequestId &call, const OrganisationId &organisation, std::int64_t tokens, Instant deadline,
                 ReservationCallback callback);

    /// The call is over: `used` of the tokens are billed, and the rest is free.
    void settle(const RequestId &call, std::int64_t used);

private:
    static BudgetId budgetOf(const OrganisationId &organisation);

    Ledger &m_ledger;
    BudgetHolder &m_holder;
    TimerService &m_timers;
    absl::flat_hash_map<OrganisationId, std::int64_t> m_totals;
};

}
