#pragma once

#include "base/randomsource.h"
#include "base/timerservice.h"

#include <absl/status/statusor.h>

namespace RadishSwitch
{

struct RetrySettings {
    /// Retries for each first attempt, in the long run.
    double share = 0.1;
    /// Retries that may be saved up, so that a quiet fleet still gets over one endpoint's loss.
    double burst = 10;
    int attempts = 3;
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration longestBackoff = std::chrono::seconds(2);
};

/// An attempt that failed and might be made again.
struct RetryQuery {
    /// Attempts made so far, one or more.
    int attempts = 1;
    bool isIdempotent = true;
    /// Whether every agent that was sent the run has proved that it did not start and never will.
    bool isProvedNotStarted = false;
    /// The caller's deadline, and the least time that a further attempt needs.
    Instant deadline{};
    Duration shortestRun{};
};

/// Grants retries as a share of first attempts.
///
/// When all endpoints fail, a retry for each request doubles the load on what is left, and the failure feeds itself.
/// A budget bounds retries to a small share of the load, whatever fails.
class RetryBudget
{
public:
    explicit RetryBudget(RandomSource &random, RetrySettings settings = {});

    void noteFirstAttempt();

    /// The backoff before the next attempt, jittered; takes one retry from the budget. Fails with OutcomeUnknown for a
    /// non-idempotent request that may have started, DeadlineExceeded when no time is left for it, EndpointFailed when
    /// it was tried often enough, and Overloaded when the budget is spent.
    absl::StatusOr<Duration> retry(const RetryQuery &query, Instant now);

    /// A retry that was granted was not made.
    void giveBack();

private:
    Duration backoff(int attempts);

    RandomSource &m_random;
    const RetrySettings m_settings;
    double m_balance;
};

}
