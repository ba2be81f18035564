#include "homefixture.h"

using namespace RadishSwitch;

class HomeAbandonTest : public HomeFixture
{
};

// The entry that serves a caller is killed after the home reserved for its request and before it sent the run. The
// home bars the granted attempt at every agent, and only then frees the tokens; the caller's retry runs.
TEST_F(HomeAbandonTest, abandon_betweenReserveAndDispatch_barsEverywhereAndFrees)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = ask(*first, question)->grant();

    first->home->abandon(question.request, grant.attempt);
    const Asked retry = first->ask(question);
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
    fleet.settle();

    EXPECT_EQ(retry->grant().reservedTokens, kWorstCase);
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
    EXPECT_EQ(first->reservations.reservedTwice(), 0);
}

// As above, but the run was on its way when the entry died: it comes to the agent after it was barred there. The agent
// refuses it, so "not run" and the freed tokens stay true.
TEST_F(HomeAbandonTest, abandon_lateMessageOfBarredAttempt_isRefusedAtAgent)
{
    const AdmitQuestion question = order("r");
    const Grant grant = ask(*first, question)->grant();
    first->home->abandon(question.request, grant.attempt);
    fleet.settle();

    for (const std::string agent : {"agent-1", "agent-2"}) {
        EXPECT_EQ(failureCode(fleet.start(question, grant, agent).status()), FailureCode::AttemptBarred);
    }

    const Grant again = startRun(*first, question, "agent-1");
    EXPECT_NE(again.attempt, grant.attempt);
}

// The entry dies while the answer streams. The run goes on at the agent; the home asks until it is done and bills it.
// A retry is sent to the agent meanwhile and gets the whole answer.
TEST_F(HomeAbandonTest, abandon_inMidStream_pollsUntilDoneAndBillsOnce)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    first->home->abandon(question.request, grant.attempt);
    fleet.advance(std::chrono::seconds(20));
    EXPECT_EQ(ask(*first, question)->duplicate().agentAddress, "agent-1");
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);

    finishRun(grant, "agent-1");
    fleet.advance(std::chrono::seconds(11));

    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(ask(*first, question)->duplicate().isDone);
}

// The caller has its whole answer, but the entry dies before it told the home. The agent knows what was charged.
TEST_F(HomeAbandonTest, abandon_betweenAnswerAndSettlement_billsWhatTheAgentCharged)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    finishRun(grant, "agent-1");

    first->home->abandon(question.request, grant.attempt);
    fleet.settle();

    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
    EXPECT_EQ(first->reservations.reserved(), 0);
}

TEST_F(HomeAbandonTest, abandon_dispatchedButNeverArrived_freesAndMayRunAgain)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = ask(*first, question)->grant();
    first->home->noteDispatched(question.request, grant.attempt, "agent-1");

    first->home->abandon(question.request, grant.attempt);
    fleet.settle();

    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
    EXPECT_NE(ask(*first, question)->grant().attempt, grant.attempt);
}

TEST_F(HomeAbandonTest, abandon_failedAtAgent_billsNothing)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    fleet.agents.table("agent-1")->noteFailed(grant.attempt);

    first->home->abandon(question.request, grant.attempt);
    fleet.settle();

    EXPECT_TRUE(bills(*first, question).empty());
    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
}

// The agent cannot be asked: the run may be in progress there. The reservation stays held, and a retry of an order
// that was not dispatched for certain is told at once that the outcome is unknown. When the agent is back, the home
// finds out.
TEST_F(HomeAbandonTest, abandon_agentCutOff_holdsReservationAndAsksAgain)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = ask(*first, question)->grant();
    fleet.agents.setCut("first", "agent-2", true);
    first->home->abandon(question.request, grant.attempt);
    const Asked waiting = first->ask(question);
    fleet.settle();

    EXPECT_EQ(waiting->failure(), FailureCode::OutcomeUnknown);
    EXPECT_TRUE(retryAfterOf(waiting->answer->status()).has_value());
    EXPECT_EQ(ask(*first, question)->failure(), FailureCode::OutcomeUnknown);
    fleet.advance(std::chrono::minutes(5));
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);

    fleet.agents.setCut("first", "agent-2", false);
    fleet.advance(std::chrono::seconds(11));

    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(ask(*first, question)->grant().reservedTokens, kWorstCase);
}

// Entry and agent die together, as when a rack goes. Whether the run used tokens nobody can prove any more: they are
// withheld, neither billed nor free. The idempotent retry runs on a reservation of its own.
TEST_F(HomeAbandonTest, abandon_agentDeadToo_withholdsAndIdempotentRunsAgain)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    fleet.agents.kill("agent-1");
    first->home->abandon(question.request, grant.attempt);
    fleet.advance(std::chrono::seconds(5));
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);

    fleet.agents.unlist("agent-1");
    fleet.advance(std::chrono::seconds(11));

    EXPECT_EQ(first->reservations.withheld(), kWorstCase);
    const Grant again = startRun(*first, question, "agent-2");
    first->home->settle(question.request, {kUsed, false, false, again.attempt});
    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
}

TEST_F(HomeAbandonTest, abandon_agentDeadToo_orderIsNeverRepeated)
{
    const AdmitQuestion question = order("r");
    const Grant grant = startRun(*first, question, "agent-1");
    fleet.agents.kill("agent-1");
    fleet.agents.unlist("agent-1");
    first->home->abandon(question.request, grant.attempt);
    fleet.settle();

    for (int n = 0; n < 3; ++n) {
        EXPECT_EQ(ask(*first, question)->failure(), FailureCode::OutcomeUnknown);
        fleet.advance(std::chrono::minutes(11));
    }
}

// The entry was resumed at a second agent when the first failed, and dies then. The answer of the second counts.
TEST_F(HomeAbandonTest, abandon_afterSecondAttempt_billsTheOneThatAnswered)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    fleet.agents.table("agent-1")->noteFailed(grant.attempt);
    Grant second = grant;
    second.attempt = AttemptId("another");
    first->home->noteDispatched(question.request, second.attempt, "agent-2");
    ASSERT_TRUE(fleet.start(question, second, "agent-2").ok());
    finishRun(second, "agent-2");

    first->home->abandon(question.request, grant.attempt);
    fleet.settle();

    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
    EXPECT_EQ(ask(*first, question)->duplicate().agentAddress, "agent-2");
}

// The stream between entry and home broke, not the entry. The home has begun to ask around when the entry's
// settlement comes on a new stream: it counts, and nothing is billed a second time by what the agent tells.
TEST_F(HomeAbandonTest, abandon_thenSettledAfterAll_billsOnce)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    finishRun(grant, "agent-1");
    first->home->abandon(question.request, grant.attempt);
    first->home->settle(question.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(1));

    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
}

TEST_F(HomeAbandonTest, abandon_whileReserving_freesWhenItComes)
{
    const AdmitQuestion question = order("r");
    const Asked asked = first->ask(question);
    while (first->home->openRequests() == 0) {
        ASSERT_TRUE(fleet.tasks.runOne());
    }
    first->home->abandon(question.request);
    fleet.settle();

    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(first->home->openRequests(), 0u);
    EXPECT_FALSE(asked->isAnswered());
}

// The entry sends an order to an agent, and dies before the home heard where. The agent is gone as well when the home
// looks for the run. It finds it at none of the others, which proves nothing: the order may have been placed.
TEST_F(HomeAbandonTest, abandon_agentGoneSinceTheGrant_isNotTakenForNotRun)
{
    const AdmitQuestion question = order("r");
    const Grant grant = ask(*first, question)->grant();
    ASSERT_TRUE(fleet.start(question, grant, "agent-1").ok());
    fleet.agents.kill("agent-1");
    fleet.agents.unlist("agent-1");

    first->home->abandon(question.request, grant.attempt);
    fleet.advance(std::chrono::seconds(1));

    EXPECT_EQ(ask(*first, question)->failure(), FailureCode::OutcomeUnknown);
    EXPECT_EQ(first->reservations.withheld(), kWorstCase);
}

// The stream of an earlier grant breaks late, when the caller's retry holds the grant. The retry's attempt must not be
// barred by that.
TEST_F(HomeAbandonTest, abandon_ofEarlierGrant_leavesLaterGrant)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = ask(*first, question)->grant();
    first->home->settle(question.request, {0, true, false, grant.attempt});
    const Grant again = ask(*first, question)->grant();

    first->home->abandon(question.request, grant.attempt);
    fleet.settle();

    EXPECT_TRUE(fleet.start(question, again, "agent-1").ok());
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
}

// An agent that had died before the request was granted cannot have got it, although its address is remembered still.
TEST_F(HomeAbandonTest, abandon_agentDeadBeforeTheGrant_isNoDoubt)
{
    fleet.agents.kill("agent-2");
    fleet.agents.setGone("agent-2");
    fleet.advance(std::chrono::seconds(2));
    const AdmitQuestion question = order("r");
    const Grant grant = ask(*first, question)->grant();

    first->home->abandon(question.request, grant.attempt);
    fleet.settle();

    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(ask(*first, question)->grant().reservedTokens, kWorstCase);
}
