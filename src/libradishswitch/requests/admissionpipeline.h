#pragma once

#include "base/lifetimetoken.h"
#include "budgets/reservationport.h"
#include "requests/admissionwaiters.h"
#include "requests/claimbook.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>

namespace RadishSwitch
{

/// A request on its way to a grant, with what it holds so far.
struct Opening {
    Admission admission;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    AttemptId attempt;
    ReservedPortion reserved;
    bool isClaimed = false;
    /// Its entry went away meanwhile: nobody is left to be granted anything.
    bool isAbandoned = false;
};

/// Takes new requests through the steps before a grant: the claim of an earlier owner is looked up, the worst case
/// reserved, the request claimed. Only non-idempotent requests with a key have claims.
///
/// The claim is looked up before the reservation, so that a repeated order is not told of an empty budget; it is
/// written after it, so that refusals for lack of budget cost no write.
class AdmissionPipeline
{
public:
    /// With OK the opening holds all it needs; otherwise the failure, and whatever it holds must be given back.
    using FinishedCallback = std::function<void(const Opening &, const absl::Status &)>;

    AdmissionPipeline(ClaimBook &claims, ReservationPort &reservations, std::chrono::milliseconds retryAfter,
                      FinishedCallback finished);

    void start(Opening opening);

    /// Ends the request before its next step. `attempt` may be empty; another opening of the request is left alone.
    void abandon(const RequestId &request, const AttemptId &attempt);

    std::size_t size() const
    {
        return m_openings.size();
    }

private:
    void lookUpClaim(const RequestId &request);
    void reserve(const RequestId &request);
    void claim(const RequestId &request);
    void finish(const RequestId &request, const absl::Status &status);
    absl::Status withRetryAfter(const absl::Status &status) const;

    ClaimBook &m_claims;
    ReservationPort &m_reservations;
    const std::chrono::milliseconds m_retryAfter;
    const FinishedCallback m_finished;
    std::map<RequestId, Opening> m_openings;
    LifetimeToken m_life;
};

}
