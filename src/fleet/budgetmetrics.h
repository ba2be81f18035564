#pragma once

#include "budgets/budgetholder.h"
#include "metrics.h"

namespace RadishSwitch
{

/// Sets the gauges of the portions that this process holds of each budget.
void countBudgets(const BudgetHolder &holder, Metrics &metrics);

}
