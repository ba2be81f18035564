#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>

namespace RadishSwitch
{

/// Tokens set aside for one request.
struct ReservedPortion {
    PortionId portion;
    std::int64_t tokens = 0;
    /// The portion was open then. Only agents that had started before may run on it: a later one may never have been
    /// told that the portion is closed.
    Instant confirmedAt = Instant::max();

    bool operator==(const ReservedPortion &) const = default;
};

/// The budgets as the home of a request sees them. One reservation a request at a time; after `settle`, `release` or
/// `withhold` the same request may reserve afresh.
class ReservationPort
{
public:
    virtual ~ReservationPort() = default;

    /// Sets `tokens` aside, or fails with BudgetExhausted, BudgetUnknown or BudgetUnavailable at the latest when
    /// `deadline` has come. The answer comes through the task queue.
    virtual void reserve(const RequestId &request, const BudgetId &budget, std::int64_t tokens, Instant deadline,
                         std::function<void(absl::StatusOr<ReservedPortion>)> callback) = 0;

    /// Bills `tokens` and frees the rest.
    virtual void settle(const RequestId &request, std::int64_t tokens) = 0;

    /// Frees the whole reservation: nothing was used.
    virtual void release(const RequestId &request) = 0;

    /// Keeps the reservation out of use without billing it: who could prove what was used is gone. An operator may
    /// release it.
    virtual void withhold(const RequestId &request) = 0;
};

}
