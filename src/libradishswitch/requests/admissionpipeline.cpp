#include "requests/admissionpipeline.h"

#include "base/failure.h"

#include <optional>
#include <string>
#include <utility>

namespace RadishSwitch
{

namespace
{

bool needsClaim(const PendingAdmission &pending)
{
    return pending.admission.query.isKeyed && pending.admission.query.isNonIdempotent;
}

/// The failure with which a retry is answered when the claim of an earlier grant forbids it to run.
absl::Status refusalForClaim(const AdmissionQuery &query, const Claim &claim)
{
    if (claim.fingerprint != query.fingerprint) {
        return withUnknownOutcome(
            makeFailure(FailureCode::KeyReusedForOtherBody, "the idempotency key was used for another request"));
    }
    if (claim.state == ClaimState::Done) {
        return withUnknownOutcome(
            makeFailure(FailureCode::AnswerGone, "the request ran, but its answer is no longer kept"));
    }
    return withUnknownOutcome(makeFailure(FailureCode::OutcomeUnknown,
                                          "an earlier try of the request may have run, so it must not run again"));
}

}

AdmissionPipeline::AdmissionPipeline(ClaimStore &claims, ReservationPort &reservations,
                                     std::chrono::milliseconds retryAfter, FinishedCallback finished)
    : m_claims(claims)
    , m_reservations(reservations)
    , m_retryAfter(retryAfter)
    , m_finished(std::move(finished))
{
}

void AdmissionPipeline::start(PendingAdmission pending)
{
    const RequestId request = pending.admission.query.request;
    const bool isClaimNeeded = needsClaim(pending);
    m_pending.insert_or_assign(request, std::move(pending));
    if (isClaimNeeded) {
        return lookUpClaim(request);
    }
    reserve(request);
}

void AdmissionPipeline::abandon(const RequestId &request, const AttemptId &attempt)
{
    const auto it = m_pending.find(request);
    if (it != m_pending.end() && (attempt.isEmpty() || attempt == it->second.attempt)) {
        it->second.isAbandoned = true;
    }
}

void AdmissionPipeline::lookUpClaim(const RequestId &request)
{
    m_claims.find(m_pending.at(request).shard, request, m_life.guard([this, request](const auto &found) {
        if (!found.ok()) {
            return finish(request, withRetryAfter(found.status()));
        }
        const std::optional<Claim> &claim = *found;
        if (claim && claim->state != ClaimState::NotRun) {
            return finish(request, refusalForClaim(m_pending.at(request).admission.query, *claim));
        }
        reserve(request);
    }));
}

void AdmissionPipeline::reserve(const RequestId &request)
{
    const PendingAdmission &pending = m_pending.at(request);
    const AdmissionQuery &query = pending.admission.query;
    if (pending.isAbandoned) {
        return finish(request, absl::OkStatus());
    }
    if (query.worstCaseTokens == 0) {
        return claim(request);
    }
    const auto done = [this, request](const absl::StatusOr<ReservedPortion> &reserved) {
        if (!reserved.ok()) {
            return finish(request, reserved.status());
        }
        m_pending.at(request).reserved = *reserved;
        claim(request);
    };
    m_reservations.reserve(request, query.budget, query.worstCaseTokens, query.deadline, m_life.guard(done));
}

void AdmissionPipeline::claim(const RequestId &request)
{
    const PendingAdmission &pending = m_pending.at(request);
    if (!needsClaim(pending) || pending.isAbandoned) {
        return finish(request, absl::OkStatus());
    }
    const AttemptId attempt = pending.attempt;
    const Claim claim{request, pending.admission.query.fingerprint, attempt};
    m_claims.claim(pending.shard, claim, m_life.guard([this, request, attempt](const auto &current) {
        if (!current.ok()) {
            return finish(request, withRetryAfter(current.status()));
        }
        if (current->attempt != attempt) {
            return finish(request, refusalForClaim(m_pending.at(request).admission.query, *current));
        }
        m_pending.at(request).isClaimed = true;
        finish(request, absl::OkStatus());
    }));
}

void AdmissionPipeline::finish(const RequestId &request, const absl::Status &status)
{
    const auto node = m_pending.extract(request);
    m_finished(node.mapped(), status);
}

absl::Status AdmissionPipeline::withRetryAfter(const absl::Status &status) const
{
    if (retryAfterOf(status)) {
        return status;
    }
    return makeFailure(failureCode(status), std::string(status.message()), m_retryAfter);
}

}
