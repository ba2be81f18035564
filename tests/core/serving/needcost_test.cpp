#include "serving/needcost.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// Each term of the cost by itself, for a long prompt at an engine of the pool's median speed and at one that takes 2.4
/// times as long.
class NeedCostTest : public testing::Test
{
protected:
    static constexpr double kSlowFactor = 2.4;

    static NeedCostInputs longPrompt()
    {
        NeedCostInputs inputs;
        inputs.load.idleEventSeconds = 0.0267;
        inputs.load.running = 10;
        inputs.poolTokensPerSecond = 68'200;
        inputs.promptTokens = 11'992;
        inputs.targetSeconds = 0.8;
        inputs.targetGapSeconds = 0.25;
        inputs.expectedEvents = 55;
        return inputs;
    }

    static NeedCostInputs longPromptAtSlowEngine()
    {
        NeedCostInputs inputs = longPrompt();
        inputs.load.idleEventSeconds *= kSlowFactor;
        inputs.load.relativeSpeed = 1 / kSlowFactor;
        return inputs;
    }
};

// Guards against a cliff: a call just below its target counts less than one just above, and none counts twice.
TEST_F(NeedCostTest, risk_byShareOfTarget_isLinearBetweenItsBounds)
{
    EXPECT_EQ(NeedCost::risk(0), 0);
    EXPECT_EQ(NeedCost::risk(0.7), 0);
    EXPECT_NEAR(NeedCost::risk(0.9), 0.5, 1e-9);
    EXPECT_EQ(NeedCost::risk(1.1), 1);
    EXPECT_EQ(NeedCost::risk(100), 1);
}

// Guards against slow engines that are taken for as fast as the others: they would get as many prompts.
TEST_F(NeedCostTest, firstAnswer_atSlowEngine_takesAsMuchLonger)
{
    NeedCostInputs inputs = longPromptAtSlowEngine();
    inputs.pendingTokens = 1'008;
    EXPECT_NEAR(NeedCost(inputs).firstAnswerSeconds(), 13'000 / 68'200.0 * kSlowFactor, 1e-9);
    inputs.load.waitSeconds = 0.3;
    inputs.otherSeconds = 0.1;
    EXPECT_NEAR(NeedCost(inputs).firstAnswerSeconds(), 13'000 / 68'200.0 * kSlowFactor + 0.4, 1e-9);
}

// Guards against an endpoint that is still quickest but too late: the call would be in time at a dearer one.
TEST_F(NeedCostTest, firstAnswer_nearItsTarget_isAtRisk)
{
    NeedCostInputs inputs = longPrompt();
    EXPECT_EQ(NeedCost(inputs).firstAnswerRisk(), 0);
    inputs.load.waitSeconds = 0.9;
    EXPECT_EQ(NeedCost(inputs).firstAnswerRisk(), 1);
    inputs.targetSeconds = 0;
    EXPECT_EQ(NeedCost(inputs).firstAnswerRisk(), 0);
}

// Guards against streams placed where streams pause for too long, and against counting that for answers which are over
// before the next long prompt.
TEST_F(NeedCostTest, ownPause_ofEndpointWithLongPauses_isAtRiskByNumberOfEvents)
{
    NeedCostInputs inputs = longPrompt();
    EXPECT_EQ(NeedCost(inputs).ownPauseRisk(), 0);
    inputs.load.pauseSeconds = 0.3;
    EXPECT_EQ(NeedCost(inputs).ownPauseRisk(), 1);
    inputs.expectedEvents = 3;
    EXPECT_NEAR(NeedCost(inputs).ownPauseRisk(), 0.3, 1e-9);
    inputs.expectedEvents = 0;
    EXPECT_EQ(NeedCost(inputs).ownPauseRisk(), 1);
    inputs.targetGapSeconds = 0;
    EXPECT_EQ(NeedCost(inputs).ownPauseRisk(), 0);
}

// Guards against an engine that is too slow for streams even when it is idle: it reports no pause while nothing runs.
TEST_F(NeedCostTest, ownPause_ofIdleEndpoint_isItsIdleInterval)
{
    NeedCostInputs inputs = longPrompt();
    inputs.load.idleEventSeconds = 0.3;
    EXPECT_EQ(NeedCost(inputs).ownPauseRisk(), 1);
}

// Guards against long prompts at slow engines: they make all streams there late, while short prompts harm none.
TEST_F(NeedCostTest, harm_ofLongPrompt_isThatOfAllStreamsAtSlowEngineOnly)
{
    EXPECT_EQ(NeedCost(longPrompt()).harmedStreams(), 0);
    NeedCostInputs slow = longPromptAtSlowEngine();
    EXPECT_NEAR(NeedCost(slow).harmedStreams(), 10, 1e-9);
    slow.promptTokens = 826;
    EXPECT_EQ(NeedCost(slow).harmedStreams(), 0);
    slow.promptTokens = 11'992;
    slow.load.running = 0;
    EXPECT_EQ(NeedCost(slow).harmedStreams(), 0);
}

// Guards against counting a harm again: behind a prompt that makes the streams late anyway, another makes none late.
TEST_F(NeedCostTest, harm_behindPendingLongPrompt_isNotCountedAgain)
{
    NeedCostInputs slow = longPromptAtSlowEngine();
    slow.pendingTokens = 7'168;
    EXPECT_EQ(NeedCost(slow).harmedStreams(), 0);
}

// Guards against short prompts that add up: each alone is harmless, but they are prefilled during one event.
TEST_F(NeedCostTest, harm_ofShortPrompts_addsUpWithPendingTokens)
{
    NeedCostInputs slow = longPromptAtSlowEngine();
    slow.promptTokens = 2'368;
    EXPECT_EQ(NeedCost(slow).harmedStreams(), 0);
    slow.pendingTokens = 4'736;
    EXPECT_GT(NeedCost(slow).harmedStreams(), 3);
}

// Guards against a learnt speed that is too low because prompts waited: all endpoints would appear equally harmful.
TEST_F(NeedCostTest, harm_whileLearntSpeedIncludesWaits_isStillThatOfSlowEnginesOnly)
{
    NeedCostInputs fast = longPrompt();
    fast.poolTokensPerSecond = 15'000;
    EXPECT_EQ(NeedCost(fast).harmedStreams(), 0);
    NeedCostInputs slow = longPromptAtSlowEngine();
    slow.poolTokensPerSecond = 15'000;
    EXPECT_GT(NeedCost(slow).harmedStreams(), 9);
}

// Guards against preemption of running streams, and against avoiding an endpoint because of one large call there.
TEST_F(NeedCostTest, memory_nearlyFullWithThisCall_costsOneLateCall)
{
    NeedCostInputs inputs = longPrompt();
    const double before = NeedCost(inputs).total();
    inputs.load.memoryShare = 0.81;
    EXPECT_FALSE(NeedCost(inputs).fillsMemory());
    inputs.load.memoryShare = 0.83;
    EXPECT_TRUE(NeedCost(inputs).fillsMemory());
    EXPECT_NEAR(NeedCost(inputs).total(), before + inputs.lateCallSeconds, 1e-9);
    inputs.load.running = 1;
    inputs.load.memoryShare = 0.75;
    EXPECT_FALSE(NeedCost(inputs).fillsMemory());
}

// Guards against a cost that ignores a term or its price.
TEST_F(NeedCostTest, total_isTheWaitAndThePriceOfLateCalls)
{
    NeedCostInputs inputs = longPromptAtSlowEngine();
    inputs.load.waitSeconds = 1;
    inputs.load.pauseSeconds = 0.3;
    inputs.lateCallSeconds = 2;
    const NeedCost cost(inputs);
    EXPECT_NEAR(cost.total(), cost.firstAnswerSeconds() + 2 * (1 + 1 + cost.harmedStreams()), 1e-9);
}

// Guards against reports with zeros: nothing is divided by them.
TEST_F(NeedCostTest, unknownInputs_haveNoTerm)
{
    NeedCostInputs inputs;
    inputs.load.relativeSpeed = 0;
    EXPECT_EQ(NeedCost(inputs).total(), 0);
}
