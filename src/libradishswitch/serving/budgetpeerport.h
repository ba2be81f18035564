#pragma once

#include "reservation.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>

namespace RadishSwitch
{

/// Gets the tokens that were reserved.
using BudgetPeerCallback = std::function<void(absl::StatusOr<std::int64_t>)>;

/// The way to another gateway as a home of budgets.
class BudgetPeerPort
{
public:
    virtual ~BudgetPeerPort() = default;

    /// Reserves at a peer; the callback comes once. Refusals of the peer's holder as they are; ConnectionLost or
    /// ConnectionSilent when it can't be reached or does not answer within `timeout`. What it may have reserved all the
    /// same is released.
    virtual void reserve(const std::string &peer, const ReservationRequest &request, Duration timeout,
                         BudgetPeerCallback callback) = 0;

    /// Ends a reservation at a peer.
    virtual void settle(const std::string &peer, const RequestId &call, std::int64_t usedTokens) = 0;

    /// Charges a part of a reservation at a peer; the rest stays reserved.
    virtual void chargePart(const std::string &peer, const RequestId &reservation, std::int64_t usedTokens) = 0;
};

}
