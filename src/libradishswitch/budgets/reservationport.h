#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>

namespace RadishSwitch
{

/// Tokens reserved for one request.
struct ReservedPortion {
    PortionId portion;
    std::int64_t tokens = 0;
    /// The portion was still open at this moment. Only agents that had started before may run the request on it: a
    /// later agent may never have been told that the portion is closed.
    Instant confirmedAt = Instant::max();

    bool operator==(const ReservedPortion &) const = default;
};

/// The interface through which the home of a request uses the budgets. A request has at most one reservation at a time;
/// after `settle`, `release` or `withhold` it may reserve again.
class ReservationPort
{
public:
    virtual ~ReservationPort() = default;

    /// Reserves `tokens`, or fails with BudgetExhausted, BudgetUnknown or BudgetUnavailable, at the latest at
    /// `deadline`. The callback is called through the task queue.
    virtual void reserve(const RequestId &request, const BudgetId &budget, std::int64_t tokens, Instant deadline,
                         std::function<void(absl::StatusOr<ReservedPortion>)> callback) = 0;

    /// Charges `tokens` and frees the rest of the reservation.
    virtual void settle(const RequestId &request, std::int64_t tokens) = 0;

    /// Frees the whole reservation, because no tokens were used.
    virtual void release(const RequestId &request) = 0;

    /// Keeps the reserved tokens unavailable without billing them, because the tokens that the request used can no
    /// longer be determined. An operator may release them.
    virtual void withhold(const RequestId &request) = 0;
};

}
