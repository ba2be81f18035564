#pragma once

#include "serving/servingroute.h"

#include <absl/status/status.h>

#include <chrono>
#include <optional>
#include <string_view>

namespace RadishSwitch
{

/// How an attempt at an endpoint ended without an answer for the caller.
enum class AttemptEnd {
    /// No byte of the call was sent.
    NotSent,
    /// No byte of the call was sent, because the endpoint stopped taking calls, or the call may no longer be sent
    /// there, after the endpoint was chosen.
    Withdrawn,
    /// The endpoint replied that it has not run the call and will not run it.
    RefusedByEndpoint,
    /// Another endpoint has the address now and replied. It has not run the call.
    WrongEndpoint,
    /// The connection broke, or the reply was not an answer to this call.
    Broken,
    /// The endpoint sent nothing within the time limit.
    Silent,
};

/// Whether a call whose latest attempt failed gets another attempt, or the reason why not.
enum class FurtherAttempt {
    Granted,
    DeadlineReached,
    NotIdempotent,
    AttemptsUsed,
    RetryBudgetSpent,
    NoEndpoint,
};

/// The attempts of a call so far.
struct AttemptHistory {
    Repetition repetition = Repetition::Never;
    int maximumAttempts = 1;
    /// Number of attempts in which the call was sent.
    int sent = 0;
    /// Number of attempts that ended before a byte was sent.
    int notSent = 0;
    /// Whether any attempt may have run.
    bool mayHaveRun = false;

    bool operator==(const AttemptHistory &) const = default;
};

/// The name of an end in logs and metrics, such as "not_sent". Stable.
std::string_view attemptEndName(AttemptEnd end);

/// The name of a verdict in logs, such as "attempts_used". Stable.
std::string_view furtherAttemptName(FurtherAttempt verdict);

/// Whether another endpoint may be tried after an attempt that ended this way. `history` includes that attempt. The
/// deadline, the retry budget and the endpoints' room are checked separately.
FurtherAttempt furtherAttempt(const AttemptHistory &history, AttemptEnd end);

/// Whether a further attempt takes from the fleet's retry budget. It does if the call was sent to the endpoint before.
bool isRetry(AttemptEnd end);

/// The failure that the caller gets when no further attempt is made. Its outcome is "not run" only if no attempt may
/// have run. `untilBackoffEnds` is the time until the first endpoint ends its backoff, if all have asked for backoff.
absl::Status failureAfterAttempts(const AttemptHistory &history, AttemptEnd end,
                                  std::optional<std::chrono::milliseconds> untilBackoffEnds = std::nullopt);

}
