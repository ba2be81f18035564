#include "requests/admissionpipeline.h"

#include "base/failure.h"

#include <optional>
#include <string>
#include <utility>

namespace RadishSwitch
{

namespace
{

bool needsClaim(const Opening &opening)
{
    return opening.admission.question.isKeyed && opening.admission.question.isNonIdempotent;
}

/// What the claim of an earlier grant lets its retry be told.
absl::Status spentClaim(const AdmitQuestion &question, const Claim &claim)
{
    if (claim.fingerprint != question.fingerprint) {
        return withUnknownOutcome(
            makeFailure(FailureCode::KeyReusedForOtherBody, "the idempotency key was used for another request"));
    }
    if (claim.state == ClaimState::Done) {
        return withUnknownOutcome(makeFailure(FailureCode::AnswerGone, "it ran, and its answer is no longer kept"));
    }
    return withUnknownOutcome(
        makeFailure(FailureCode::OutcomeUnknown, "an earlier try may have run and cannot be repeated"));
}

}

AdmissionPipeline::AdmissionPipeline(ClaimBook &claims, ReservationPort &reservations,
                                     std::chrono::milliseconds retryAfter, FinishedCallback finished)
    : m_claims(claims)
    , m_reservations(reservations)
    , m_retryAfter(retryAfter)
    , m_finished(std::move(finished))
{
}

void AdmissionPipeline::start(Opening opening)
{
    const RequestId request = opening.admission.question.request;
    const bool isClaimNeeded = needsClaim(opening);
    m_openings.insert_or_assign(request, std::move(opening));
    if (isClaimNeeded) {
        return lookUpClaim(request);
    }
    reserve(request);
}

void AdmissionPipeline::abandon(const RequestId &request, const AttemptId &attempt)
{
    const auto it = m_openings.find(request);
    if (it != m_openings.end() && (attempt.isEmpty() || attempt == it->second.attempt)) {
        it->second.isAbandoned = true;
    }
}

void AdmissionPipeline::lookUpClaim(const RequestId &request)
{
    m_claims.find(m_openings.at(request).shard, request, m_life.guard([this, request](const auto &found) {
        if (!found.ok()) {
            return finish(request, withRetryAfter(found.status()));
        }
        const std::optional<Claim> &claim = *found;
        if (claim && claim->state != ClaimState::NotRun) {
            return finish(request, spentClaim(m_openings.at(request).admission.question, *claim));
        }
        reserve(request);
    }));
}

void AdmissionPipeline::reserve(const RequestId &request)
{
    const Opening &opening = m_openings.at(request);
    const AdmitQuestion &question = opening.admission.question;
    if (opening.isAbandoned) {
        return finish(request, absl::OkStatus());
    }
    if (question.worstCaseTokens == 0) {
        return claim(request);
    }
    const auto done = [this, request](const absl::StatusOr<ReservedPortion> &reserved) {
        if (!reserved.ok()) {
            return finish(request, reserved.status());
        }
        m_openings.at(request).reserved = *reserved;
        claim(request);
    };
    m_reservations.reserve(request, question.budget, question.worstCaseTokens, question.deadline, m_life.guard(done));
}

void AdmissionPipeline::claim(const RequestId &request)
{
    const Opening &opening = m_openings.at(request);
    if (!needsClaim(opening) || opening.isAbandoned) {
        return finish(request, absl::OkStatus());
    }
    const AttemptId attempt = opening.attempt;
    const Claim claim{request, opening.admission.question.fingerprint, attempt};
    m_claims.claim(opening.shard, claim, m_life.guard([this, request, attempt](const auto &standing) {
        if (!standing.ok()) {
            return finish(request, withRetryAfter(standing.status()));
        }
        if (standing->attempt != attempt) {
            return finish(request, spentClaim(m_openings.at(request).admission.question, *standing));
        }
        m_openings.at(request).isClaimed = true;
        finish(request, absl::OkStatus());
    }));
}

void AdmissionPipeline::finish(const RequestId &request, const absl::Status &status)
{
    const auto node = m_openings.extract(request);
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
