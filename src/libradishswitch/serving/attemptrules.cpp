#include "serving/attemptrules.h"

#include "base/failure.h"

namespace RadishSwitch
{

namespace
{

/// Maximum number of attempts in which the call was not sent. A connection that fails at once costs the caller little,
/// but an endpoint that does not respond costs a connect timeout each.
constexpr int kMaxUnsentAttempts = 3;
/// Retry-after for calls that all endpoints refused, in milliseconds. A full endpoint finishes some runs within that
/// time.
constexpr std::chrono::milliseconds kRetryAfterRefusal{250};

}

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::Withdrawn:
        return "withdrawn";
    case AttemptEnd::RefusedByEndpoint:
        return "refused";
    case AttemptEnd::WrongEndpoint:
        return "wrong_endpoint";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Silent:
        break;
    }
    return "silent";
}

std::string_view furtherAttemptName(FurtherAttempt verdict)
{
    switch (verdict) {
    case FurtherAttempt::Granted:
        return "granted";
    case FurtherAttempt::DeadlineReached:
        return "deadline_reached";
    case FurtherAttempt::NotIdempotent:
        return "not_idempotent";
    case FurtherAttempt::AttemptsUsed:
        return "attempts_used";
    case FurtherAttempt::RetryBudgetSpent:
        return "retry_budget_spent";
    case FurtherAttempt::NoEndpoint:
        break;
    }
    return "no_endpoint";
}

FurtherAttempt furtherAttempt(const AttemptHistory &history, AttemptEnd end)
{
    const bool mayHaveRun = end == AttemptEnd::Broken || end == AttemptEnd::Silent;
    if (mayHaveRun && history.repetition == Repetition::Never) {
        return FurtherAttempt::NotIdempotent;
    }
    const bool hasUsedUnsentAttempts = !isRetry(end) && history.notSent >= kMaxUnsentAttempts;
    return hasUsedUnsentAttempts || history.sent >= history.maximumAttempts ? FurtherAttempt::AttemptsUsed
                                                                            : FurtherAttempt::Granted;
}

bool isRetry(AttemptEnd end)
{
    return end != AttemptEnd::NotSent && end != AttemptEnd::Withdrawn;
}

absl::Status failureAfterAttempts(const AttemptHistory &history, AttemptEnd end,
                                  std::optional<std::chrono::milliseconds> untilBackoffEnds)
{
    if (!history.mayHaveRun) {
        return makeFailure(FailureCode::Overloaded, "no endpoint accepted the call",
                           untilBackoffEnds.value_or(kRetryAfterRefusal));
    }
    if (end == AttemptEnd::Silent) {
        return withUnknownOutcome(makeFailure(FailureCode::ConnectionSilent, "the endpoint did not answer in time"));
    }
    return withUnknownOutcome(
        makeFailure(FailureCode::EndpointFailed, "the endpoint broke off before its answer was complete"));
}

}
