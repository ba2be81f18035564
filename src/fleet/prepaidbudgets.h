#pragma once

#include "budgets/budgetholder.h"
#include "serving/sharedbudgets.h"

#include <absl/container/flat_hash_map.h>

#include <functional>

namespace RadishSwitch
{

/// This process's portions of organisations' prepaid budgets, one budget an organisation. What was paid comes with the
/// reservations, so that a home needs no configuration of its own.
class PrepaidBudgets : public LocalBudgets, private BudgetHolderListener
{
public:
    /// `isStoreLost` tells whether the store is lost by what else is asked of it.
    PrepaidBudgets(Ledger &ledger, BudgetHolder &holder, TimerService &timers, std::function<bool()> isStoreLost);
    ~PrepaidBudgets() override;

    static BudgetId budgetOf(const OrganisationId &organisation);

    void reserveLocally(const ReservationRequest &request, ReservationCallback callback) override;
    bool isLedgerUnreachable(const BudgetId &budget) const override;
    void settleLocally(const RequestId &call, std::int64_t usedTokens) override;

    /// Gives back a portion of a gateway that stopped, as soon as the store is reached.
    void returnHanded(const OrganisationId &organisation, const PortionId &portion, std::int64_t spentTokens);

private:
    /// Logs what tells a budget that was used up from one whose rest lies in portions: of others, or of gateways that
    /// were killed.
    void handleExhausted(const BudgetId &budget, const BudgetSnapshot &snapshot) override;
    void handleTaken(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens,
                     const BudgetSnapshot &snapshot) override;
    void handleReturned(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens) override;
    /// Whether a reservation needs nothing of the ledger.
    bool holds(const ReservationRequest &request) const;
    /// Books what was paid with the first reservation here that draws on it: were every process to book each change, it
    /// would cost a call to the store from each of them.
    void book(const BudgetId &budget, const Allowance &allowance);

    Ledger &m_ledger;
    BudgetHolder &m_holder;
    TimerService &m_timers;
    const std::function<bool()> m_isStoreLost;
    /// What was booked from here last.
    absl::flat_hash_map<BudgetId, Allowance> m_booked;
};

}
