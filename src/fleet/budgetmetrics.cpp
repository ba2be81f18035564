#include "budgetmetrics.h"

namespace RadishSwitch
{

void countBudgets(const BudgetHolder &holder, Metrics &metrics)
{
    for (const HeldBudgetStatus &it : holder.statuses()) {
        const MetricLabels labels{{"organisation", it.budget.organisation.value()}};
        metrics.gauge("radishswitch_budget_available_tokens", "Tokens of a budget held here and not in use", labels)
            .set(static_cast<double>(it.available));
        metrics.gauge("radishswitch_budget_tokens_per_second", "Averaged use of a budget here", labels)
            .set(it.tokensPerSecond);
    }
}

}
