#include "wireconversion.h"

namespace RadishSwitch
{

wire::Failure failureToWire(const absl::Status &status)
{
    wire::Failure failure;
    failure.set_code(std::string(failureName(failureCode(status))));
    failure.set_message(std::string(status.message()));
    failure.set_outcome_unknown(outcomeOf(status) == RunOutcome::Unknown);
    if (const auto retryAfter = retryAfterOf(status)) {
        failure.set_retry_after_ms(retryAfter->count());
    }
    return failure;
}

absl::Status failureFromWire(const wire::Failure &failure)
{
    const FailureCode code = failureFromName(failure.code()).value_or(FailureCode::Internal);
    absl::Status status = failure.retry_after_ms() > 0
        ? makeFailure(code, failure.message(), std::chrono::milliseconds(failure.retry_after_ms()))
        : makeFailure(code, failure.message());
    return failure.outcome_unknown() ? withUnknownOutcome(std::move(status)) : status;
}

wire::RunRecord runRecordToWire(const RunRecord &record)
{
    wire::RunRecord message;
    message.set_request_id(record.request.value());
    message.set_attempt_id(record.attempt.value());
    message.set_state(static_cast<wire::RunState>(record.state));
    message.set_portion_id(record.portion.value());
    message.set_reserved_tokens(record.reservedTokens);
    message.set_charged_tokens(record.chargedTokens);
    message.set_fingerprint(record.fingerprint);
    message.set_non_idempotent(record.isNonIdempotent);
    message.set_answer_kept(record.isAnswerKept);
    message.set_agent_address(record.agentAddress);
    message.set_shard(record.shard);
    message.set_epoch(record.epoch);
    message.set_provisional(record.isProvisional);
    return message;
}

RunRecord runRecordFromWire(const wire::RunRecord &message)
{
    RunRecord record;
    record.request = RequestId(message.request_id());
    record.attempt = AttemptId(message.attempt_id());
    record.state = wire::RunState_IsValid(message.state()) ? static_cast<RunState>(message.state()) : RunState::Unknown;
    record.portion = PortionId(message.portion_id());
    record.reservedTokens = message.reserved_tokens();
    record.chargedTokens = message.charged_tokens();
    record.fingerprint = message.fingerprint();
    record.isNonIdempotent = message.non_idempotent();
    record.isAnswerKept = message.answer_kept();
    record.agentAddress = message.agent_address();
    record.shard = message.shard();
    record.epoch = message.epoch();
    record.isProvisional = message.provisional();
    return record;
}

RunStart runStartFromWire(const wire::RunRequest &request)
{
    RunStart start;
    start.request = RequestId(request.request_id());
    start.attempt = AttemptId(request.attempt_id());
    start.portion = PortionId(request.portion_id());
    start.shard = request.shard();
    start.epoch = request.epoch();
    start.reservedTokens = request.reserved_tokens();
    start.fingerprint = request.fingerprint();
    start.isNonIdempotent = request.non_idempotent();
    start.isProvisional = request.provisional();
    return start;
}

wire::PortionCharges portionChargesToWire(const PortionCharges &charges)
{
    wire::PortionCharges message;
    message.set_portion_id(charges.portion.value());
    message.set_folded_tokens(charges.foldedTokens);
    message.set_provisional_tokens(charges.provisionalTokens);
    message.set_complete_for_ms(std::chrono::duration_cast<std::chrono::milliseconds>(charges.completeFor).count());
    for (const PortionCharges::Charge &charge : charges.charges) {
        wire::Charge *entry = message.add_charges();
        entry->set_request_id(charge.request.value());
        entry->set_tokens(charge.tokens);
    }
    for (const RunRecord &record : charges.running) {
        *message.add_running() = runRecordToWire(record);
    }
    return message;
}

PortionCharges portionChargesFromWire(const wire::PortionCharges &message)
{
    PortionCharges charges;
    charges.portion = PortionId(message.portion_id());
    charges.foldedTokens = message.folded_tokens();
    charges.provisionalTokens = message.provisional_tokens();
    charges.completeFor = std::chrono::milliseconds(message.complete_for_ms());
    for (const wire::Charge &charge : message.charges()) {
        charges.charges.push_back({RequestId(charge.request_id()), charge.tokens()});
    }
    for (const wire::RunRecord &record : message.running()) {
        charges.running.push_back(runRecordFromWire(record));
    }
    return charges;
}

}
