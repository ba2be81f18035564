#pragma once

#include "budgets/reservation.h"

#include <string>

namespace RadishSwitch
{

/// The way to another gateway as a home of budgets.
class BudgetPeerPort
{
public:
    virtual ~BudgetPeerPort() = default;

    /// Reserves at a peer; the callback comes once. Refusals of the peer's holder as they are; ConnectionLost or
    /// ConnectionSilent when it can't be reached or nothing is heard of it within `timeout`; LedgerLate when it answers
    /// others and not this request until its deadline. What it may have reserved all the same is released.
    virtual void reserve(const std::string &peer, const ReservationRequest &request, Duration timeout,
                         std::function<void(absl::Status)> callback) = 0;

    /// Ends a reservation at a peer.
    virtual void settle(const std::string &peer, const RequestId &call, std::int64_t usedTokens) = 0;
};

}
