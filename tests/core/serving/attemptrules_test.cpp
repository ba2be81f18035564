#include "base/failure.h"
#include "serving/attemptrules.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class AttemptRulesTest : public testing::Test
{
protected:
    static AttemptHistory history(Repetition repetition, int sent, int maximum, bool mayHaveRun)
    {
        AttemptHistory history;
        history.repetition = repetition;
        history.sent = sent;
        history.maximumAttempts = maximum;
        history.mayHaveRun = mayHaveRun;
        return history;
    }
};

// Guards against a non-idempotent call that runs twice, or is reported as not run. The call was sent and its connection
// broke, so it may have run.
TEST_F(AttemptRulesTest, nonIdempotentCall_mayHaveRun_notRetriedAndOutcomeUnknown)
{
    const AttemptHistory nonIdempotentCall = history(Repetition::Never, 1, 5, true);
    EXPECT_EQ(furtherAttempt(nonIdempotentCall, AttemptEnd::Broken), FurtherAttempt::NotIdempotent);
    EXPECT_EQ(furtherAttempt(nonIdempotentCall, AttemptEnd::Silent), FurtherAttempt::NotIdempotent);
    EXPECT_EQ(outcomeOf(failureAfterAttempts(nonIdempotentCall, AttemptEnd::Broken)), RunOutcome::Unknown);
}

TEST_F(AttemptRulesTest, nonIdempotentCall_refusedByEndpoint_retriedWithinItsAttempts)
{
    EXPECT_EQ(furtherAttempt(history(Repetition::Never, 1, 2, false), AttemptEnd::RefusedByEndpoint),
              FurtherAttempt::Granted);
    const AttemptHistory spent = history(Repetition::Never, 1, 1, false);
    EXPECT_EQ(furtherAttempt(spent, AttemptEnd::RefusedByEndpoint), FurtherAttempt::AttemptsUsed);
    const absl::Status failure = failureAfterAttempts(spent, AttemptEnd::RefusedByEndpoint);
    EXPECT_EQ(outcomeOf(failure), RunOutcome::NotRun);
    EXPECT_TRUE(retryAfterOf(failure).has_value());
}

// Guards against a caller that retries before the first endpoint ends its backoff, and is refused again.
TEST_F(AttemptRulesTest, call_allEndpointsInBackoff_getsRetryAfterOfFirstToReturn)
{
    const AttemptHistory call = history(Repetition::Never, 1, 1, false);
    const absl::Status failure =
        failureAfterAttempts(call, AttemptEnd::RefusedByEndpoint, std::chrono::milliseconds(2700));
    EXPECT_EQ(retryAfterOf(failure), std::chrono::milliseconds(2700));
    EXPECT_EQ(outcomeOf(failure), RunOutcome::NotRun);
}

// Guards against reporting "not run" for a call that was refused by the second endpoint but may have run at the first.
TEST_F(AttemptRulesTest, refusal_afterLostAnswer_outcomeStaysUnknown)
{
    const AttemptHistory call = history(Repetition::Always, 2, 2, true);
    EXPECT_EQ(outcomeOf(failureAfterAttempts(call, AttemptEnd::RefusedByEndpoint)), RunOutcome::Unknown);
}

TEST_F(AttemptRulesTest, idempotentCalls_attemptBroken_retriedUntilAttemptsAreUsed)
{
    for (const Repetition repetition : {Repetition::Always, Repetition::ByResuming}) {
        EXPECT_EQ(furtherAttempt(history(repetition, 1, 2, true), AttemptEnd::Broken), FurtherAttempt::Granted);
        EXPECT_EQ(furtherAttempt(history(repetition, 2, 2, true), AttemptEnd::Broken), FurtherAttempt::AttemptsUsed);
    }
}

TEST_F(AttemptRulesTest, unsentAttempt_repeated_takesNoRetryBudgetAndIsBounded)
{
    EXPECT_FALSE(isRetry(AttemptEnd::NotSent));
    EXPECT_FALSE(isRetry(AttemptEnd::Withdrawn));
    EXPECT_TRUE(isRetry(AttemptEnd::RefusedByEndpoint));
    AttemptHistory call = history(Repetition::Never, 0, 1, false);
    call.notSent = 2;
    EXPECT_EQ(furtherAttempt(call, AttemptEnd::NotSent), FurtherAttempt::Granted);
    call.notSent = 3;
    EXPECT_EQ(furtherAttempt(call, AttemptEnd::NotSent), FurtherAttempt::AttemptsUsed);
}
