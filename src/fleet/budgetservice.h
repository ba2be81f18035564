#pragma once

#include "messagestream.h"
#include "prepaidbudgets.h"

#include <deque>

namespace RadishSwitch
{

/// Serves the reservations that other gateways make against the portions of this process.
class BudgetService
{
public:
    BudgetService(PrepaidBudgets &budgets, TimerService &timers);
    ~BudgetService();

    /// Serves a stream that another gateway has opened.
    void serve(const MessageStreamPointer &stream);

private:
    struct Expiry {
        Instant at{};
        RequestId call;
        std::int64_t tokens = 0;
    };

    void handle(const MessageStreamPointer &stream, const std::string &frame);
    void reserve(const MessageStreamPointer &stream, const ReservationRequest &request, Duration expiry);
    void settleExpired();

    PrepaidBudgets &m_budgets;
    TimerService &m_timers;
    TimerId m_timer = 0;
    /// Reservations that other gateways made, in the order in which they were made. They also expire in this order,
    /// since all gateways use the same expiry time.
    std::deque<Expiry> m_expiries;
};

}
