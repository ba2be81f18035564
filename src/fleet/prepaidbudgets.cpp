#include "prepaidbudgets.h"

#include "base/failure.h"
#include "budgets/allowancechange.h"
#include "budgets/ledgerlayout.h"
#include "budgets/returnportionchange.h"
#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("budget");

constexpr char kBudgetName[] = "prepaid";
/// Time after which a caller may retry when the store is lost. It is short because the retry goes to another gateway,
/// which may still hold tokens.
constexpr std::chrono::milliseconds kStoreLostRetryAfter{200};

}

PrepaidBudgets::PrepaidBudgets(Ledger &ledger, BudgetHolder &holder, TimerService &timers,
                               std::function<bool()> isStoreLost)
    : m_ledger(ledger)
    , m_holder(holder)
    , m_timers(timers)
    , m_isStoreLost(std::move(isStoreLost))
{
    m_holder.setListener(this);
}

PrepaidBudgets::~PrepaidBudgets()
{
    m_holder.setListener(nullptr);
}

BudgetId PrepaidBudgets::budgetOf(const OrganisationId &organisation)
{
    return BudgetId{organisation, kBudgetName};
}

void PrepaidBudgets::handleTaken(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens,
                                 const BudgetSnapshot &snapshot)
{
    kLog.info("portion taken",
              {field("budget", budget.toString()), field("number", portion.number), field("tokens", tokens),
               field("available", portion.available()), field("reserved", portion.reserved),
               field("spent", portion.spent), field("free", snapshot.free), field("paid", snapshot.paid)});
}

void PrepaidBudgets::handleReturned(const BudgetId &budget, const HeldPortion &portion, std::int64_t tokens)
{
    kLog.info("portion given back",
              {field("budget", budget.toString()), field("number", portion.number), field("tokens", tokens),
               field("available", portion.available()), field("reserved", portion.reserved),
               field("spent", portion.spent)});
}

void PrepaidBudgets::handleExhausted(const BudgetId &budget, const BudgetSnapshot &snapshot)
{
    HeldBudgetStatus::Portion held;
    if (const std::optional<HeldBudgetStatus> status = m_holder.budgetStatus(budget)) {
        for (const HeldBudgetStatus::Portion &it : status->portions) {
            held.granted += it.granted;
            held.spent += it.spent;
            held.reserved += it.reserved;
        }
    }
    kLog.info("the ledger has no free tokens left to grant",
              {field("budget", budget.toString()), field("paid", snapshot.paid), field("settled", snapshot.settled),
               field("free", snapshot.free), field("portions", snapshot.portions),
               field("unspent_in_portions", snapshot.unspentInPortions), field("granted_here", held.granted),
               field("spent_here", held.spent), field("reserved_here", held.reserved)});
}

void PrepaidBudgets::reserveLocally(const ReservationRequest &request, ReservationCallback callback)
{
    submitAllowance(request.budget, request.allowance);
    // A request to the ledger stays pending while the store is lost. Once the store is back, each process that was cut
    // off would take a portion of each budget that it had calls for, and all would write the same objects at once. A
    // stand-in that has too few tokens therefore refuses without asking the ledger.
    if (request.isStandIn && m_isStoreLost() && !hasTokensFor(request)) {
        return callback(makeFailure(FailureCode::BudgetUnavailable,
                                    "the store can't be reached and this process holds too few tokens",
                                    kStoreLostRetryAfter));
    }
    m_holder.reserve(request, std::move(callback));
}

bool PrepaidBudgets::hasTokensFor(const ReservationRequest &request) const
{
    const std::optional<HeldBudgetStatus> status = m_holder.budgetStatus(request.budget);
    return status && status->available >= request.tokens;
}

void PrepaidBudgets::submitAllowance(const BudgetId &budget, const Allowance &allowance)
{
    Allowance &submitted = m_submittedAllowances[budget];
    // A gateway whose configuration is out of date still sends an older version of the allowance.
    if (allowance.version <= submitted.version) {
        return;
    }
    const bool isSameTotal = allowance.tokens == submitted.tokens;
    submitted = allowance;
    if (isSameTotal) {
        return;
    }
    m_holder.notePayment(budget);
    const auto change = std::make_shared<AllowanceChange>(budget, allowance.version, allowance.tokens,
                                                          m_timers.wallClockMilliseconds());
    m_ledger.submit(budget, change, Urgency::Urgent, [change](const absl::Status &status) {
        if (status.ok()) {
            kLog.info("allowance written to the ledger", {field("change", change->describe())});
        } else {
            kLog.error("allowance not written to the ledger",
                       {field("change", change->describe()), field("error", std::string(status.message()))});
        }
    });
}

bool PrepaidBudgets::isLedgerUnreachable(const BudgetId &budget) const
{
    return m_ledger.isStoreUnavailable(m_ledger.shardOf(budget)) || m_isStoreLost();
}

void PrepaidBudgets::returnHandedOver(const OrganisationId &organisation, const PortionId &portion,
                                      std::int64_t spentTokens)
{
    const BudgetId budget = budgetOf(organisation);
    kLog.info("returning a portion that a stopping gateway handed over",
              {field("portion", portion.value()), field("spent", spentTokens)});
    m_ledger.submit(budget, std::make_shared<ReturnPortionChange>(budget, portion, spentTokens), Urgency::Soon,
                    [portion](const absl::Status &status) {
                        if (!status.ok()) {
                            kLog.error(
                                "portion of a stopped gateway not returned",
                                {field("portion", portion.value()), field("error", std::string(status.message()))});
                        }
                    });
}

void PrepaidBudgets::settleLocally(const RequestId &call, std::int64_t usedTokens)
{
    const absl::Status status = m_holder.settle(call, usedTokens);
    if (!status.ok()) {
        kLog.error("number of used tokens out of range", {field("call", call.value()), field("tokens", usedTokens)});
    }
}

}
