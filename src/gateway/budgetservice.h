#pragma once

#include "messagestream.h"
#include "prepaidbudgets.h"

#include <map>

namespace RadishSwitch
{

/// Lets other gateways reserve against this one's portions.
class BudgetService
{
public:
    BudgetService(PrepaidBudgets &budgets, TimerService &timers);
    ~BudgetService();

    /// Serves a stream of another gateway.
    void serve(const MessageStreamPointer &stream);

private:
    void handle(const MessageStreamPointer &stream, const std::string &frame);
    void reserve(const MessageStreamPointer &stream, const ReservationRequest &request, Duration expiry);
    void settleExpired();

    PrepaidBudgets &m_budgets;
    TimerService &m_timers;
    TimerId m_timer = 0;
    /// Reservations by the moments of their ends.
    std::multimap<Instant, RequestId> m_expiries;
};

}
