#include "serving/attemptrules.h"

#include "base/failure.h"

namespace RadishSwitch
{

namespace
{

/// Connections that fail at once cost a caller little; an endpoint that takes none costs a connect timeout each.
constexpr int kMostNotSent = 3;
/// A refused caller comes back when a full endpoint has ended a few runs.
constexpr std::chrono::milliseconds kRetryAfterRefusal{250};

}

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not_sent";
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

bool mayTryAgain(const AttemptHistory &history, AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return history.notSent < kMostNotSent && (history.sent < history.maximumAttempts);
    case AttemptEnd::RefusedByEndpoint:
    case AttemptEnd::WrongEndpoint:
        return history.sent < history.maximumAttempts;
    case AttemptEnd::Broken:
    case AttemptEnd::Silent:
        return history.repetition != Repetition::Never && history.sent < history.maximumAttempts;
    }
    return false;
}

bool isRetry(AttemptEnd end)
{
    return end != AttemptEnd::NotSent;
}

absl::Status failureOfAttempts(const AttemptHistory &history, AttemptEnd end)
{
    if (!history.mayHaveRun) {
        return makeFailure(FailureCode::Overloaded, "no endpoint took the call", kRetryAfterRefusal);
    }
    if (end == AttemptEnd::Silent) {
        return withUnknownOutcome(makeFailure(FailureCode::ConnectionSilent, "the endpoint did not answer in time"));
    }
    return withUnknownOutcome(makeFailure(FailureCode::EndpointFailed, "the endpoint broke off"));
}

}
