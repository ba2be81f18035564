#include "budgets/holderreservations.h"

namespace RadishSwitch
{

HolderReservations::HolderReservations(BudgetHolder &holder)
    : m_holder(holder)
{
}

void HolderReservations::reserve(const RequestId &request, const BudgetId &budget, std::int64_t tokens,
                                 Instant deadline, std::function<void(absl::StatusOr<ReservedPortion>)> callback)
{
    const ReservationRequest reservationRequest{request, budget, tokens, deadline};
    m_holder.reserve(reservationRequest, [callback = std::move(callback)](absl::StatusOr<Reservation> reservation) {
        if (!reservation.ok()) {
            return callback(reservation.status());
        }
        callback(ReservedPortion{reservation->portion, reservation->tokens, reservation->confirmedAt});
    });
}

// The error is ignored: for a charge outside the reservation the holder charges the whole reservation, so it never
// spends more than it holds.
void HolderReservations::settle(const RequestId &request, std::int64_t tokens)
{
    (void)m_holder.settle(request, tokens);
}

void HolderReservations::release(const RequestId &request)
{
    m_holder.release(request);
}

void HolderReservations::withhold(const RequestId &request)
{
    m_holder.withhold(request);
}

}
