#include "wireconversion.h"

#include "failure.h"

namespace RadishSwitch
{

wire::Failure toWire(const absl::Status &status)
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

wire::RunState toWire(RunState state)
{
    switch (state) {
    case RunState::Unknown:
        return wire::RUN_UNKNOWN;
    case RunState::Running:
        return wire::RUN_RUNNING;
    case RunState::Done:
        return wire::RUN_DONE;
    case RunState::Failed:
        return wire::RUN_FAILED;
    case RunState::Barred:
        return wire::RUN_BARRED;
    }
    return wire::RUN_UNKNOWN;
}

wire::RunRecord toWire(const RunRecord &record)
{
    wire::RunRecord message;
    message.set_request_id(record.request.value());
    message.set_attempt_id(record.attempt.value());
    message.set_state(toWire(record.state));
    message.set_portion_id(record.portion.value());
    message.set_reserved_tokens(record.reservedTokens);
    message.set_charged_tokens(record.chargedTokens);
    message.set_fingerprint(record.fingerprint);
    message.set_non_idempotent(record.isNonIdempotent);
    message.set_answer_kept(record.isAnswerKept);
    message.set_agent_address(record.agentAddress);
    return message;
}

wire::PortionCharges toWire(const PortionCharges &charges)
{
    wire::PortionCharges message;
    message.set_portion_id(charges.portion.value());
    for (const PortionCharges::Charge &charge : charges.charges) {
        wire::Charge *it = message.add_charges();
        it->set_request_id(charge.request.value());
        it->set_tokens(charge.tokens);
    }
    message.set_folded_tokens(charges.foldedTokens);
    for (const RunRecord &record : charges.running) {
        *message.add_running() = toWire(record);
    }
    message.set_complete_for_ms(std::chrono::duration_cast<std::chrono::milliseconds>(charges.completeFor).count());
    return message;
}

}
