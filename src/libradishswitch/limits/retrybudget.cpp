#include "limits/retrybudget.h"

#include "base/failure.h"

#include <algorithm>

namespace RadishSwitch
{

RetryBudget::RetryBudget(RandomSource &random, RetrySettings settings)
    : m_random(random)
    , m_settings(settings)
    , m_balance(settings.burst)
{
}

void RetryBudget::noteFirstAttempt()
{
    m_balance = std::min(m_settings.burst, m_balance + m_settings.share);
}

absl::StatusOr<Duration> RetryBudget::retry(const RetryQuery &query, Instant now)
{
    if (!query.isIdempotent && !query.isProvedNotStarted) {
        return withUnknownOutcome(
            makeFailure(FailureCode::OutcomeUnknown, "a non-idempotent request may have started"));
    }
    if (query.attempts >= m_settings.attempts) {
        return makeFailure(FailureCode::EndpointFailed, "all attempts of the request are used up");
    }
    const Duration wait = backoff(query.attempts);
    if (now + wait + query.shortestRun > query.deadline) {
        return makeFailure(FailureCode::DeadlineExceeded, "no time is left for another attempt");
    }
    if (m_balance < 1) {
        return makeFailure(FailureCode::Overloaded, "too many requests are being retried",
                           std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.longestBackoff));
    }
    m_balance -= 1;
    return wait;
}

void RetryBudget::giveBack()
{
    m_balance = std::min(m_settings.burst, m_balance + 1);
}

Duration RetryBudget::backoff(int attempts)
{
    constexpr int kMaxDoublings = 20;
    const Duration span = m_settings.firstBackoff * (1 << std::clamp(attempts - 1, 0, kMaxDoublings));
    const Duration longest = std::min(span, m_settings.longestBackoff);
    // Half of the backoff is fixed and half random, so that requests that failed together are not retried together.
    const double factor = 0.5 + 0.5 * m_random.fraction();
    return Duration(static_cast<Duration::rep>(static_cast<double>(longest.count()) * factor));
}

}
