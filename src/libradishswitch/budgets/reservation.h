#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>

namespace RadishSwitch
{

/// The total that was paid for a budget according to a version of the configuration. Version zero means that payments
/// are booked by other means.
struct Allowance {
    std::uint64_t version = 0;
    std::int64_t tokens = 0;

    bool operator==(const Allowance &) const = default;
};

/// A request to reserve the upper bound of what a call can cost, before the call is sent to any endpoint.
struct ReservationRequest {
    RequestId request;
    BudgetId budget;
    /// Upper bound of the tokens that the request can cost.
    std::int64_t tokens = 0;
    /// The request may wait for tokens until this time.
    Instant deadline{};
    /// Whether another process holds the budget's usual portion and this one only substitutes for it.
    bool isStandIn = false;
    /// Whether the request may use the budget's headroom, which other reservations must leave.
    bool isUrgent = true;
    Allowance allowance = {};

    bool operator==(const ReservationRequest &) const = default;
};

/// Tokens reserved for one request.
struct Reservation {
    PortionId portion;
    std::int64_t tokens = 0;
    /// The ledger still had the portion open at this moment of the holder's timer service, or later.
    ///
    /// A run may only be sent to agents that were discovered before this moment. An agent that started later was never
    /// told which portions are closed. If the holder was paused while its portion was closed, such an agent would run
    /// the request and bill it against tokens that other holders have by now. The closer has informed every older
    /// agent.
    Instant confirmedAt{};

    bool operator==(const Reservation &) const = default;
};

using ReservationCallback = std::function<void(absl::StatusOr<Reservation>)>;

}
