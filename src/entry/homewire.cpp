#include "homewire.h"

#include "wireconversion.h"

#include <algorithm>
#include <variant>

namespace RadishSwitch
{

wire::AdmitRequest admitQuestionToWire(const AdmissionQuery &question, Instant now)
{
    using std::chrono::milliseconds;
    const Duration left = std::max(question.deadline - now, Duration::zero());
    wire::AdmitRequest message;
    message.set_request_id(question.request.value());
    message.set_organisation(question.budget.organisation.value());
    message.set_budget(question.budget.name);
    message.set_worst_case_tokens(question.worstCaseTokens);
    message.set_fingerprint(question.fingerprint);
    message.set_keyed(question.isKeyed);
    message.set_non_idempotent(question.isNonIdempotent);
    message.set_deadline_ms(std::chrono::duration_cast<milliseconds>(left).count());
    message.set_pool(question.pool.value());
    return message;
}

AdmissionQuery admitQuestionFromWire(const wire::AdmitRequest &message, Instant now)
{
    AdmissionQuery question;
    question.request = RequestId(message.request_id());
    question.budget = BudgetId{OrganisationId(message.organisation()), message.budget()};
    question.worstCaseTokens = message.worst_case_tokens();
    question.fingerprint = message.fingerprint();
    question.isKeyed = message.keyed();
    question.isNonIdempotent = message.non_idempotent();
    question.deadline = now + std::chrono::milliseconds(message.deadline_ms());
    question.pool = PoolId(message.pool());
    return question;
}

wire::AdmitAnswer admitDecisionToWire(const absl::StatusOr<AdmitDecision> &decision, Instant now)
{
    wire::AdmitAnswer message;
    if (!decision.ok()) {
        *message.mutable_refused() = failureToWire(decision.status());
        return message;
    }
    if (const Grant *grant = std::get_if<Grant>(&*decision)) {
        message.mutable_granted()->set_portion_id(grant->portion.value());
        message.mutable_granted()->set_shard(grant->shard);
        message.mutable_granted()->set_epoch(grant->epoch);
        message.mutable_granted()->set_reserved_tokens(grant->reservedTokens);
        message.mutable_granted()->set_attempt_id(grant->attempt.value());
        message.mutable_granted()->set_provisional(grant->isProvisional);
        if (grant->portionConfirmedAt != Instant::max()) {
            message.mutable_granted()->set_confirmed_age_us((now - grant->portionConfirmedAt).count());
        }
        return message;
    }
    const DuplicateRun &duplicate = std::get<DuplicateRun>(*decision);
    message.mutable_duplicate()->set_agent_address(duplicate.agentAddress);
    message.mutable_duplicate()->set_attempt_id(duplicate.attempt.value());
    message.mutable_duplicate()->set_done(duplicate.isDone);
    return message;
}

absl::StatusOr<AdmitDecision> admitDecisionFromWire(const wire::AdmitAnswer &message, Instant askedAt)
{
    if (message.has_granted()) {
        const wire::Granted &granted = message.granted();
        Grant grant;
        grant.portion = PortionId(granted.portion_id());
        grant.shard = granted.shard();
        grant.epoch = granted.epoch();
        grant.reservedTokens = granted.reserved_tokens();
        grant.attempt = AttemptId(granted.attempt_id());
        grant.isProvisional = granted.provisional();
        if (!grant.portion.isEmpty()) {
            grant.portionConfirmedAt = askedAt - Duration(granted.confirmed_age_us());
        }
        return grant;
    }
    if (message.has_duplicate()) {
        const wire::Duplicate &duplicate = message.duplicate();
        return DuplicateRun{duplicate.agent_address(), AttemptId(duplicate.attempt_id()), duplicate.done()};
    }
    if (message.has_refused()) {
        return failureFromWire(message.refused());
    }
    return makeFailure(FailureCode::MalformedMessage, "the home's answer is empty");
}

wire::Settle settlementToWire(const Settlement &settlement)
{
    wire::Settle message;
    message.set_charged_tokens(settlement.chargedTokens);
    message.set_not_run(settlement.isNotRun);
    message.set_failed(settlement.isFailed);
    message.set_granted_attempt_id(settlement.grantedAttempt.value());
    return message;
}

Settlement settlementFromWire(const wire::Settle &message)
{
    return {message.charged_tokens(), message.not_run(), message.failed(), AttemptId(message.granted_attempt_id())};
}

}
