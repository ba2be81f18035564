#pragma once

#include "budgets/reservation.h"

#include <string>

namespace RadishSwitch
{

/// Reserves tokens at other processes, as homes of budgets.
class BudgetPeerPort
{
public:
    virtual ~BudgetPeerPort() = default;

    /// Reserves at a peer; the callback is called once. Fails with the same errors as the peer's BudgetHolder, with
    /// ConnectionLost or ConnectionSilent if the peer can't be reached or sends nothing within `timeout`, and with
    /// LedgerLate if the peer answers other requests but not this one before its deadline. A reservation that the peer
    /// made after all is released.
    virtual void reserve(const std::string &peer, const ReservationRequest &request, Duration timeout,
                         std::function<void(absl::Status)> callback) = 0;

    /// Ends a reservation at a peer.
    virtual void settle(const std::string &peer, const RequestId &call, std::int64_t usedTokens) = 0;
};

}
