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
/// Another gateway may hold something, and a caller's next try goes to another.
constexpr std::chrono::milliseconds kLostRetryAfter{200};

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
    HeldBudgetStatus::Portion here;
    if (const std::optional<HeldBudgetStatus> status = m_holder.budgetStatus(budget)) {
        for (const HeldBudgetStatus::Portion &it : status->portions) {
            here.granted += it.granted;
            here.spent += it.spent;
            here.reserved += it.reserved;
        }
    }
    kLog.info("nothing left to grant",
              {field("budget", budget.toString()), field("paid", snapshot.paid), field("settled", snapshot.settled),
               field("free", snapshot.free), field("portions", snapshot.portions),
               field("unspent_in_portions", snapshot.unspentInPortions), field("granted_here", here.granted),
               field("spent_here", here.spent), field("reserved_here", here.reserved)});
}

void PrepaidBudgets::reserveLocally(const ReservationRequest &request, ReservationCallback callback)
{
    book(request.budget, request.allowance);
    // What is asked of a lost ledger is not given up: once the store is back, each process that was cut off would take
    // a portion of each budget that it saw calls for, and all would write the same objects at once.
    if (request.isStandIn && m_isStoreLost() && !holds(request)) {
        return callback(makeFailure(FailureCode::BudgetUnavailable, "the store is lost and too little is held here",
                                    kLostRetryAfter));
    }
    m_holder.reserve(request, std::move(callback));
}

bool PrepaidBudgets::holds(const ReservationRequest &request) const
{
    const std::optional<HeldBudgetStatus> status = m_holder.budgetStatus(request.budget);
    return status && status->available >= request.tokens;
}

void PrepaidBudgets::book(const BudgetId &budget, const Allowance &allowance)
{
    Allowance &booked = m_booked[budget];
    // A gateway that is behind still sends what an older version says.
    if (allowance.version <= booked.version) {
        return;
    }
    const bool isSameTotal = allowance.tokens == booked.tokens;
    booked = allowance;
    if (isSameTotal) {
        return;
    }
    m_holder.notePayment(budget);
    const auto change = std::make_shared<AllowanceChange>(budget, allowance.version, allowance.tokens,
                                                          m_timers.wallClockMilliseconds());
    m_ledger.submit(budget, change, Urgency::Urgent, [change](const absl::Status &status) {
        if (status.ok()) {
            kLog.info("allowance booked", {field("change", change->describe())});
        } else {
            kLog.error("allowance not booked",
                       {field("change", change->describe()), field("error", std::string(status.message()))});
        }
    });
}

bool PrepaidBudgets::isLedgerUnreachable(const BudgetId &budget) const
{
    return m_ledger.isStoreUnavailable(m_ledger.shardOf(budget)) || m_isStoreLost();
}

void PrepaidBudgets::returnHanded(const OrganisationId &organisation, const PortionId &portion,
                                  std::int64_t spentTokens)
{
    const BudgetId budget = budgetOf(organisation);
    kLog.info("portion handed over", {field("portion", portion.value()), field("spent", spentTokens)});
    m_ledger.submit(budget, std::make_shared<ReturnPortionChange>(budget, portion, spentTokens), Urgency::Soon,
                    [portion](const absl::Status &status) {
                        if (!status.ok()) {
                            kLog.error(
                                "handed portion not returned",
                                {field("portion", portion.value()), field("error", std::string(status.message()))});
                        }
                    });
}

void PrepaidBudgets::settleLocally(const RequestId &call, std::int64_t usedTokens)
{
    const absl::Status status = m_holder.settle(call, usedTokens);
    if (!status.ok()) {
        kLog.error("charge out of range", {field("call", call.value()), field("tokens", usedTokens)});
    }
}

}
