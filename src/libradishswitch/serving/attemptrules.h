#pragma once

#include "serving/servingroute.h"

#include <absl/status/status.h>

#include <chrono>
#include <optional>
#include <string_view>

namespace RadishSwitch
{

/// How one attempt at an endpoint ended without an answer for the caller.
enum class AttemptEnd {
    /// No byte of the call left this process.
    NotSent,
    /// The same, since the endpoint or the call was closed to the other after it was chosen.
    Withdrawn,
    /// The endpoint said that it has not run the call and won't.
    RefusedByEndpoint,
    /// The endpoint's address belongs to another endpoint by now, which has not run the call.
    WrongEndpoint,
    /// The connection broke, or what came was no answer to this call.
    Broken,
    /// Nothing came for too long.
    Silent,
};

/// Whether a call whose latest attempt failed gets another one, or why not.
enum class FurtherAttempt {
    Granted,
    DeadlineReached,
    NotIdempotent,
    AttemptsUsed,
    RetryBudgetSpent,
    NoEndpoint,
};

/// What has become of a call so far.
struct AttemptHistory {
    Repetition repetition = Repetition::Never;
    int maximumAttempts = 1;
    /// Endpoints to which the call was sent.
    int sent = 0;
    /// Attempts that ended before a byte was sent.
    int notSent = 0;
    /// Whether any attempt may have run.
    bool mayHaveRun = false;

    bool operator==(const AttemptHistory &) const = default;
};

/// The stable name of an end, such as "not_sent".
std::string_view attemptEndName(AttemptEnd end);

/// The stable name of a verdict, such as "attempts_used".
std::string_view furtherAttemptName(FurtherAttempt verdict);

/// Whether another endpoint may be tried after an attempt that ended so. `history` includes that attempt. The
/// deadline, the retry budget and the endpoints' room are asked besides.
FurtherAttempt furtherAttempt(const AttemptHistory &history, AttemptEnd end);

/// Whether a further attempt draws on the fleet's retry budget: it does when the endpoint before saw the call.
bool isRetry(AttemptEnd end);

/// What the caller is told when no further attempt is made. "Not run" only if no attempt may have run.
/// `untilBackoffEnds` is how long until the first endpoint takes calls again, where all have asked for backoff.
absl::Status failureAfterAttempts(const AttemptHistory &history, AttemptEnd end,
                                  std::optional<std::chrono::milliseconds> untilBackoffEnds = std::nullopt);

}
