#pragma once

#include "base/randomsource.h"
#include "base/timerservice.h"

#include <absl/status/statusor.h>

namespace RadishSwitch
{

struct RetrySettings {
    /// Retries for each first attempt, averaged over time.
    double share = 0.1;
    /// Number of unused retries that are kept, so that a fleet with few requests can still retry after losing an
    /// endpoint.
    double burst = 10;
    int attempts = 3;
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration longestBackoff = std::chrono::seconds(2);
};

/// A failed attempt that might be retried.
struct RetryQuery {
    /// Number of attempts so far, at least one.
    int attempts = 1;
    bool isIdempotent = true;
    /// Whether every agent that was sent the run has proved that it did not start the run and never will.
    bool isProvedNotStarted = false;
    /// The caller's deadline, and the least time that a further attempt needs.
    Instant deadline{};
    Duration shortestRun{};
};

/// Grants retries as a share of first attempts.
///
/// If all endpoints fail and every request is retried, the load on the remaining endpoints doubles and makes them fail
/// too. The budget bounds retries to a small share of the load, whatever fails.
class RetryBudget
{
public:
    explicit RetryBudget(RandomSource &random, RetrySettings settings = {});

    void noteFirstAttempt();

    /// Takes one retry from the budget and returns the jittered backoff before the next attempt. Fails with
    /// OutcomeUnknown for a non-idempotent request that may have started, DeadlineExceeded when there is no time for
    /// another attempt, EndpointFailed when all attempts were used, and Overloaded when the budget is exhausted.
    absl::StatusOr<Duration> retry(const RetryQuery &query, Instant now);

    /// Returns a granted retry that was not made to the budget.
    void giveBack();

private:
    Duration backoff(int attempts);

    RandomSource &m_random;
    const RetrySettings m_settings;
    double m_balance;
};

}
