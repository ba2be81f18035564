#include "budgetservice.h"

#include "log.h"
#include "wire.h"
#include "wireconversion.h"

namespace RadishSwitch
{

namespace
{

const Log kLog("budget");

constexpr Duration kSweepInterval = std::chrono::seconds(1);

}

BudgetService::BudgetService(PrepaidBudgets &budgets, TimerService &timers)
    : m_budgets(budgets)
    , m_timers(timers)
{
    m_timer = m_timers.every(kSweepInterval, [this] {
        settleExpired();
    });
}

BudgetService::~BudgetService()
{
    m_timers.cancel(m_timer);
}

void BudgetService::serve(const MessageStreamPointer &stream)
{
    stream->start(
        [this, stream](const std::string &frame) {
            handle(stream, frame);
        },
        [](const absl::Status &) {});
}

void BudgetService::handle(const MessageStreamPointer &stream, const std::string &frame)
{
    const absl::StatusOr<wire::BudgetRequest> message = parseFrame<wire::BudgetRequest>(frame);
    if (!message.ok() || message->request_case() == wire::BudgetRequest::REQUEST_NOT_SET) {
        kLog.warning("a peer's message can't be read");
        return stream->cancel();
    }
    if (message->has_settle()) {
        return m_budgets.settleLocally(RequestId(message->settle().call()), message->settle().used_tokens());
    }
    if (message->has_handed()) {
        const wire::HandedPortion &handed = message->handed();
        return m_budgets.returnHandedOver(OrganisationId(handed.organisation()), PortionId(handed.portion()),
                                          handed.spent_tokens());
    }
    const wire::Reserve &reserve = message->reserve();
    ReservationRequest request;
    request.request = RequestId(reserve.call());
    request.budget = PrepaidBudgets::budgetOf(OrganisationId(reserve.organisation()));
    request.tokens = reserve.tokens();
    request.deadline = m_timers.now() + std::chrono::milliseconds(reserve.wait_ms());
    request.isUrgent = reserve.is_urgent();
    request.isStandIn = reserve.is_stand_in();
    request.allowance = Allowance{reserve.allowance_version(), reserve.allowance_tokens()};
    this->reserve(stream, request, std::chrono::milliseconds(reserve.expires_ms()));
}

void BudgetService::reserve(const MessageStreamPointer &stream, const ReservationRequest &request, Duration expiry)
{
    m_budgets.reserveLocally(request, [this, stream, request, expiry](const absl::StatusOr<Reservation> &reservation) {
        wire::BudgetAnswer answer;
        answer.set_call(request.request.value());
        if (reservation.ok()) {
            m_expiries.push_back({m_timers.now() + expiry, request.request, request.tokens});
        } else {
            *answer.mutable_refused() = failureToWire(reservation.status());
        }
        stream->send(answer.SerializeAsString());
    });
}

// A gateway that died can't report how many tokens its calls used. Their reservations count as used completely. This
// may bill too many tokens to a budget, but never allows more to be spent than was paid.
void BudgetService::settleExpired()
{
    const Instant now = m_timers.now();
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        m_budgets.settleLocally(m_expiries.front().call, m_expiries.front().tokens);
        m_expiries.pop_front();
    }
}

}
