#pragma once

#include "budgets/budgetholder.h"
#include "serving/sharedbudgets.h"

#include <absl/container/flat_hash_map.h>

#include <functional>

namespace RadishSwitch
{

/// The portions that this process holds of the organisations' prepaid budgets. Each organisation has one budget.
/// The total that an organisation has paid is sent with each reservation, so a home needs no configuration of its own.
class PrepaidBudgets : public LocalBudgets, private BudgetHolderListener
{
public:
    /// `isStoreLost` returns whether other calls of this process to the store show that it can't be reached.
    PrepaidBudgets(Ledger &ledger, BudgetHolder &holder, TimerService &timers, std::function<bool()> isStoreLost);
    ~PrepaidBudgets() override;

    static BudgetId budgetOf(const OrganisationId &organisation);

    void reserveLocally(const ReservationRequest &request, ReservationCallback callback) override;
    bool isLedgerUnreachable(const BudgetId &budget) const override;
    void settleLocally(const RequestId &call, std::int64_t usedTokens) override;

    /// Returns the portion of a gateway that has stopped to the ledger, as soon as the store can be reached.
    void returnHandedOver(const OrganisationId &organisation, const PortionId &portion, std::int64_t spentTokens);

private:
    /// Logs the amounts that show whether the budget is used up, or whether its remaining tokens are in the portions of
    /// other processes or of gateways that were killed.
    void handleExhausted(const BudgetId &budget, const BudgetSnapshot &snapshot) override;
    void handleTaken(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens,
                     const BudgetSnapshot &snapshot) override;
    void handleReturned(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens) override;
    /// Whether the portions here have enough tokens for a reservation, so that the ledger is not needed.
    bool hasTokensFor(const ReservationRequest &request) const;
    /// Submits a newer allowance to the ledger when the first reservation with it arrives here. If every process
    /// submitted each change on its own, each change would cost one store call per process.
    void submitAllowance(const BudgetId &budget, const Allowance &allowance);

    Ledger &m_ledger;
    BudgetHolder &m_holder;
    TimerService &m_timers;
    const std::function<bool()> m_isStoreLost;
    /// The last allowance of each budget that this process has submitted.
    absl::flat_hash_map<BudgetId, Allowance> m_submittedAllowances;
};

}
