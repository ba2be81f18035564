#pragma once

#include "base/lifetimetoken.h"
#include "budgets/reservationport.h"
#include "requests/admissionwaiters.h"
#include "requests/claimstore.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>

namespace RadishSwitch
{

/// A request that is being admitted, with the resources that it holds so far.
struct PendingAdmission {
    Admission admission;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    AttemptId attempt;
    ReservedPortion reserved;
    bool isClaimed = false;
    /// The entry that asked is gone, so there is nobody left to receive a grant.
    bool isAbandoned = false;
};

/// Takes new requests through the steps before a grant: look up the claim of an earlier grant, reserve the worst case,
/// claim the request. Only non-idempotent requests with a key have claims.
///
/// The claim is looked up before the reservation, so that the retry of a request that has run is answered with that
/// outcome, not with an exhausted budget. The claim is written after the reservation, so that a request that is refused
/// for lack of budget costs no write.
class AdmissionPipeline
{
public:
    /// Called once for each request. With OK the pending admission holds all that the grant needs. Otherwise the status
    /// is the failure, and the callee must release what the admission holds.
    using FinishedCallback = std::function<void(const PendingAdmission &, const absl::Status &)>;

    AdmissionPipeline(ClaimStore &claims, ReservationPort &reservations, std::chrono::milliseconds retryAfter,
                      FinishedCallback finished);

    void start(PendingAdmission pending);

    /// Marks the request as abandoned; it ends before its next step. Only the admission with this attempt is abandoned,
    /// or any when `attempt` is empty.
    void abandon(const RequestId &request, const AttemptId &attempt);

    std::size_t size() const
    {
        return m_pending.size();
    }

private:
    void lookUpClaim(const RequestId &request);
    void reserve(const RequestId &request);
    void claim(const RequestId &request);
    void finish(const RequestId &request, const absl::Status &status);
    absl::Status withRetryAfter(const absl::Status &status) const;

    ClaimStore &m_claims;
    ReservationPort &m_reservations;
    const std::chrono::milliseconds m_retryAfter;
    const FinishedCallback m_finished;
    std::map<RequestId, PendingAdmission> m_pending;
    LifetimeToken m_life;
};

}
