#pragma once

#include "budgets/budgetholder.h"
#include "budgets/reservationport.h"

namespace RadishSwitch
{

/// The budget holder of this process as the reservation port of the home in the same process.
class HolderReservations : public ReservationPort
{
public:
    explicit HolderReservations(BudgetHolder &holder);

    void reserve(const RequestId &request, const BudgetId &budget, std::int64_t tokens, Instant deadline,
                 std::function<void(absl::StatusOr<ReservedPortion>)> callback) override;
    void settle(const RequestId &request, std::int64_t tokens) override;
    void release(const RequestId &request) override;

    void withhold(const RequestId &request) override;

private:
    BudgetHolder &m_holder;
};

}
