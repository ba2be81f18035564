#include "prepaidbudgets.h"

#include "allowancechange.h"
#include "failure.h"
#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("budget");

constexpr char kBudgetName[] = "prepaid";

}

PrepaidBudgets::PrepaidBudgets(Ledger &ledger, BudgetHolder &holder, TimerService &timers)
    : m_ledger(ledger)
    , m_holder(holder)
    , m_timers(timers)
{
}

BudgetId PrepaidBudgets::budgetOf(const OrganisationId &organisation)
{
    return BudgetId{organisation, kBudgetName};
}

void PrepaidBudgets::applyConfiguration(const ServingConfiguration &configuration)
{
    for (const ServedOrganisation &organisation : configuration.organisations) {
        if (!organisation.prepaidTokens) {
            continue;
        }
        const std::int64_t total = *organisation.prepaidTokens;
        const auto known = m_totals.find(organisation.name);
        if (known != m_totals.end() && known->second == total) {
            continue;
        }
        m_totals[organisation.name] = total;
        const BudgetId budget = budgetOf(organisation.name);
        const auto change = std::make_shared<AllowanceChange>(budget, configuration.version, total,
                                                              m_timers.wallClockMilliseconds());
        m_ledger.submit(budget, change, Urgency::Urgent, [change, total](const absl::Status &status) {
            if (status.ok()) {
                kLog.info("allowance booked", {field("change", change->describe()), field("total", total)});
            } else {
                kLog.error("allowance not booked",
                           {field("change", change->describe()), field("error", std::string(status.message()))});
            }
        });
    }
}

void PrepaidBudgets::reserve(const RequestId &call, const OrganisationId &organisation, std::int64_t tokens,
                             Instant deadline, ReservationCallback callback)
{
    m_holder.reserve(ReservationRequest{call, budgetOf(organisation), tokens, deadline}, std::move(callback));
}

void PrepaidBudgets::settle(const RequestId &call, std::int64_t used)
{
    const absl::Status status = m_holder.settle(call, used);
    if (!status.ok()) {
        kLog.error("charge out of range", {field("call", call.value()), field("tokens", used)});
    }
}

}
