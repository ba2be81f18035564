#include "base/failure.h"
#include "limits/retrybudget.h"
#include "seededrandom.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class RetryBudgetTest : public testing::Test
{
protected:
    FailureCode refusal(const RetryQuery &query)
    {
        return failureCode(m_budget.retry(query, m_now).status());
    }

    const Instant m_now{100s};
    SeededRandom m_random;
    RetryBudget m_budget{m_random};
    const RetryQuery m_query{.deadline = m_now + 30s, .shortestRun = 100ms};
};

TEST_F(RetryBudgetTest, retry_idempotent_waitsJitteredAndLongerEachTime)
{
    const absl::StatusOr<Duration> first = m_budget.retry(m_query, m_now);
    RetryQuery again = m_query;
    again.attempts = 2;
    const absl::StatusOr<Duration> second = m_budget.retry(again, m_now);

    ASSERT_TRUE(first.ok() && second.ok());
    EXPECT_GE(*first, 25ms);
    EXPECT_LE(*first, 50ms);
    EXPECT_GE(*second, 50ms);
    EXPECT_LE(*second, 100ms);
}

// Guards against running an order twice. An order for blinds was sent and the connection broke, so it is not known
// whether it ran. If it were sent again, two sets of blinds might be cut. The caller is told that the outcome is
// unknown.
TEST_F(RetryBudgetTest, retry_nonIdempotentThatMayHaveStarted_isRefusedAsUnknown)
{
    RetryQuery order = m_query;
    order.isIdempotent = false;
    const absl::Status status = m_budget.retry(order, m_now).status();

    EXPECT_EQ(failureCode(status), FailureCode::OutcomeUnknown);
    EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown);
}

TEST_F(RetryBudgetTest, retry_nonIdempotentProvedNotStarted_isGranted)
{
    RetryQuery order = m_query;
    order.isIdempotent = false;
    order.isProvedNotStarted = true;

    EXPECT_TRUE(m_budget.retry(order, m_now).ok());
}

TEST_F(RetryBudgetTest, retry_noTimeLeft_isRefused)
{
    RetryQuery late = m_query;
    late.deadline = m_now + 110ms;

    EXPECT_EQ(refusal(late), FailureCode::DeadlineExceeded);
}

TEST_F(RetryBudgetTest, retry_allAttemptsUsed_isRefused)
{
    RetryQuery often = m_query;
    often.attempts = 3;

    EXPECT_EQ(refusal(often), FailureCode::EndpointFailed);
}

// Guards against retries that overload what is left of a pool: if every endpoint failed and each request were tried
// three times, the pool would get three times the load and fail because of that alone.
TEST_F(RetryBudgetTest, retry_everythingFails_retriesStayATenthOfFirstAttempts)
{
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        m_budget.noteFirstAttempt();
        granted += m_budget.retry(m_query, m_now).ok() ? 1 : 0;
    }

    EXPECT_LE(granted, 1000 / 10 + 10);
    EXPECT_EQ(refusal(m_query), FailureCode::Overloaded);
}

// Guards against losing granted retries. An endpoint that was waited for may answer before the retry is made. If the
// retry were not returned, a fleet whose endpoints are slow for a while would have no retries left for real failures.
TEST_F(RetryBudgetTest, giveBack_grantedRetry_isGrantedAgain)
{
    while (m_budget.retry(m_query, m_now).ok()) { }
    EXPECT_EQ(refusal(m_query), FailureCode::Overloaded);
    m_budget.giveBack();
    EXPECT_TRUE(m_budget.retry(m_query, m_now).ok());
    EXPECT_EQ(refusal(m_query), FailureCode::Overloaded);
}
