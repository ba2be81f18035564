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

// An order was sent and the connection broke. It may have run, and must neither be sent again nor be told "not run".
TEST_F(AttemptRulesTest, orderThatMayHaveRun_isNotTriedAgainAndUnknown)
{
    const AttemptHistory order = history(Repetition::Never, 1, 5, true);
    EXPECT_EQ(furtherAttempt(order, AttemptEnd::Broken), FurtherAttempt::NotIdempotent);
    EXPECT_EQ(furtherAttempt(order, AttemptEnd::Silent), FurtherAttempt::NotIdempotent);
    EXPECT_EQ(outcomeOf(failureAfterAttempts(order, AttemptEnd::Broken)), RunOutcome::Unknown);
}

TEST_F(AttemptRulesTest, orderRefusedByEndpoint_isTriedAgainWithinItsAttempts)
{
    EXPECT_EQ(furtherAttempt(history(Repetition::Never, 1, 2, false), AttemptEnd::RefusedByEndpoint),
              FurtherAttempt::Granted);
    const AttemptHistory spent = history(Repetition::Never, 1, 1, false);
    EXPECT_EQ(furtherAttempt(spent, AttemptEnd::RefusedByEndpoint), FurtherAttempt::AttemptsUsed);
    const absl::Status failure = failureAfterAttempts(spent, AttemptEnd::RefusedByEndpoint);
    EXPECT_EQ(outcomeOf(failure), RunOutcome::NotRun);
    EXPECT_TRUE(retryAfterOf(failure).has_value());
}

// All endpoints have asked for backoff: a caller that comes back sooner is refused again.
TEST_F(AttemptRulesTest, callThatNobodyTookWhileAllBackedOff_isToldWhenTheFirstIsBack)
{
    const AttemptHistory call = history(Repetition::Never, 1, 1, false);
    const absl::Status failure =
        failureAfterAttempts(call, AttemptEnd::RefusedByEndpoint, std::chrono::milliseconds(2700));
    EXPECT_EQ(retryAfterOf(failure), std::chrono::milliseconds(2700));
    EXPECT_EQ(outcomeOf(failure), RunOutcome::NotRun);
}

// The second endpoint refuses a call that the first may have run. "Not run" would be true of the second alone.
TEST_F(AttemptRulesTest, refusalBehindALostAnswer_staysUnknown)
{
    const AttemptHistory call = history(Repetition::Always, 2, 2, true);
    EXPECT_EQ(outcomeOf(failureAfterAttempts(call, AttemptEnd::RefusedByEndpoint)), RunOutcome::Unknown);
}

TEST_F(AttemptRulesTest, repeatableCalls_goElsewhereUntilTheirAttemptsAreUsed)
{
    for (const Repetition repetition : {Repetition::Always, Repetition::ByResuming}) {
        EXPECT_EQ(furtherAttempt(history(repetition, 1, 2, true), AttemptEnd::Broken), FurtherAttempt::Granted);
        EXPECT_EQ(furtherAttempt(history(repetition, 2, 2, true), AttemptEnd::Broken), FurtherAttempt::AttemptsUsed);
    }
}

TEST_F(AttemptRulesTest, attemptThatWasNotSent_costsNoRetryAndIsBounded)
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
