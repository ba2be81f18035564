#include "homefixture.h"

using namespace RadishSwitch;

class HomeAbandonTest : public HomeFixture
{
};

// The entry that serves a caller is killed after the home reserved tokens for the request and before the run was sent.
// The home must bar the granted attempt at every agent before it releases the tokens; then the caller's retry is
// granted.
TEST_F(HomeAbandonTest, abandon_betweenReserveAndDispatch_barsEverywhereAndFrees)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = ask(*first, query)->grant();

    first->home->abandon(query.request, grant.attempt);
    const Asked retry = first->ask(query);
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
    fleet.settle();

    EXPECT_EQ(retry->grant().reservedTokens, kWorstCase);
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
    EXPECT_EQ(first->reservations.reservedTwice(), 0);
}

// The run was already on its way when its entry died, and reaches the agent after the attempt was barred there. The
// agent must refuse it, so that "not run" and the released tokens stay true.
TEST_F(HomeAbandonTest, abandon_lateMessageOfBarredAttempt_isRefusedAtAgent)
{
    const AdmissionQuery query = nonIdempotent("r");
    const Grant grant = ask(*first, query)->grant();
    first->home->abandon(query.request, grant.attempt);
    fleet.settle();

    for (const std::string agent : {"agent-1", "agent-2"}) {
        EXPECT_EQ(failureCode(fleet.start(query, grant, agent).status()), FailureCode::AttemptBarred);
    }

    const Grant again = startRun(*first, query, "agent-1");
    EXPECT_NE(again.attempt, grant.attempt);
}

// The entry dies while the answer is streamed, and the run goes on at the agent. The home polls the agent until the run
// is done and bills it. Meanwhile a retry is attached to the run and gets the complete answer.
TEST_F(HomeAbandonTest, abandon_midStream_pollsUntilDoneAndBillsOnce)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    first->home->abandon(query.request, grant.attempt);
    fleet.advance(std::chrono::seconds(20));
    EXPECT_EQ(ask(*first, query)->duplicate().agentAddress, "agent-1");
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);

    finishRun(grant, "agent-1");
    fleet.advance(std::chrono::seconds(11));

    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(ask(*first, query)->duplicate().isDone);
}

// The caller has its complete answer, but the entry dies before it settled with the home. The home bills what the agent
// charged.
TEST_F(HomeAbandonTest, abandon_betweenAnswerAndSettlement_billsWhatTheAgentCharged)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    finishRun(grant, "agent-1");

    first->home->abandon(query.request, grant.attempt);
    fleet.settle();

    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
    EXPECT_EQ(first->reservations.reserved(), 0);
}

TEST_F(HomeAbandonTest, abandon_dispatchedButNeverArrived_freesAndMayRunAgain)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = ask(*first, query)->grant();
    first->home->noteDispatched(query.request, grant.attempt, "agent-1");

    first->home->abandon(query.request, grant.attempt);
    fleet.settle();

    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
    EXPECT_NE(ask(*first, query)->grant().attempt, grant.attempt);
}

TEST_F(HomeAbandonTest, abandon_failedAtAgent_billsNothing)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    fleet.agents.table("agent-1")->noteFailed(grant.attempt);

    first->home->abandon(query.request, grant.attempt);
    fleet.settle();

    EXPECT_TRUE(bills(*first, query).empty());
    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
}

// An agent that may be running the request cannot be reached. The reservation is kept, and a retry is told at once that
// the outcome is unknown. When the agent is reachable again, the home learns that the request did not run.
TEST_F(HomeAbandonTest, abandon_agentUnreachable_keepsReservationAndRetries)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = ask(*first, query)->grant();
    fleet.agents.setCut("first", "agent-2", true);
    first->home->abandon(query.request, grant.attempt);
    const Asked waiting = first->ask(query);
    fleet.settle();

    EXPECT_EQ(waiting->failure(), FailureCode::OutcomeUnknown);
    EXPECT_TRUE(retryAfterOf(waiting->answer->status()).has_value());
    EXPECT_EQ(ask(*first, query)->failure(), FailureCode::OutcomeUnknown);
    fleet.advance(std::chrono::minutes(5));
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);

    fleet.agents.setCut("first", "agent-2", false);
    fleet.advance(std::chrono::seconds(11));

    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(ask(*first, query)->grant().reservedTokens, kWorstCase);
}

// The entry and the agent die together, for example with their rack. Nobody can find out whether the run used tokens,
// so they are withheld: neither billed nor released. The idempotent retry runs on a new reservation.
TEST_F(HomeAbandonTest, abandon_agentDeadToo_withholdsAndIdempotentRunsAgain)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    fleet.agents.kill("agent-1");
    first->home->abandon(query.request, grant.attempt);
    fleet.advance(std::chrono::seconds(5));
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);

    fleet.agents.unlist("agent-1");
    fleet.advance(std::chrono::seconds(11));

    EXPECT_EQ(first->reservations.withheld(), kWorstCase);
    const Grant again = startRun(*first, query, "agent-2");
    first->home->settle(query.request, {kUsed, false, false, again.attempt});
    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
}

TEST_F(HomeAbandonTest, abandon_agentDeadToo_nonIdempotentNeverRunsAgain)
{
    const AdmissionQuery query = nonIdempotent("r");
    const Grant grant = startRun(*first, query, "agent-1");
    fleet.agents.kill("agent-1");
    fleet.agents.unlist("agent-1");
    first->home->abandon(query.request, grant.attempt);
    fleet.settle();

    for (int n = 0; n < 3; ++n) {
        EXPECT_EQ(ask(*first, query)->failure(), FailureCode::OutcomeUnknown);
        fleet.advance(std::chrono::minutes(11));
    }
}

// The first attempt failed and the entry continued the request at a second agent, then died. The attempt that answered
// is billed.
TEST_F(HomeAbandonTest, abandon_afterSecondAttempt_billsAttemptThatAnswered)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    fleet.agents.table("agent-1")->noteFailed(grant.attempt);
    Grant second = grant;
    second.attempt = AttemptId("another");
    first->home->noteDispatched(query.request, second.attempt, "agent-2");
    ASSERT_TRUE(fleet.start(query, second, "agent-2").ok());
    finishRun(second, "agent-2");

    first->home->abandon(query.request, grant.attempt);
    fleet.settle();

    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
    EXPECT_EQ(ask(*first, query)->duplicate().agentAddress, "agent-2");
}

// The stream between the entry and the home broke, but the entry is alive. The home has begun to query the agents when
// the entry's settlement arrives on a new stream. The settlement counts, and the agents' answers must not bill the
// request again.
TEST_F(HomeAbandonTest, abandon_settledAfterwards_billsOnce)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    finishRun(grant, "agent-1");
    first->home->abandon(query.request, grant.attempt);
    first->home->settle(query.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(1));

    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
}

TEST_F(HomeAbandonTest, abandon_whileReserving_releasesReservation)
{
    const AdmissionQuery query = nonIdempotent("r");
    const Asked asked = first->ask(query);
    while (first->home->openRequests() == 0) {
        ASSERT_TRUE(fleet.tasks.runOne());
    }
    first->home->abandon(query.request);
    fleet.settle();

    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(first->home->openRequests(), 0u);
    EXPECT_FALSE(asked->isAnswered());
}

// The entry sends a non-idempotent request to an agent and dies before it told the home which agent. That agent is gone
// as well when the home searches for the run. The other agents have no trace of it, which does not prove that it did
// not run.
TEST_F(HomeAbandonTest, abandon_agentGoneSinceGrant_outcomeIsUnknown)
{
    const AdmissionQuery query = nonIdempotent("r");
    const Grant grant = ask(*first, query)->grant();
    ASSERT_TRUE(fleet.start(query, grant, "agent-1").ok());
    fleet.agents.kill("agent-1");
    fleet.agents.unlist("agent-1");

    first->home->abandon(query.request, grant.attempt);
    fleet.advance(std::chrono::seconds(1));

    EXPECT_EQ(ask(*first, query)->failure(), FailureCode::OutcomeUnknown);
    EXPECT_EQ(first->reservations.withheld(), kWorstCase);
}

// The stream of an earlier grant breaks after the caller's retry was granted. This must not bar the attempt of the
// retry.
TEST_F(HomeAbandonTest, abandon_ofEarlierGrant_leavesLaterGrant)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = ask(*first, query)->grant();
    first->home->settle(query.request, {0, true, false, grant.attempt});
    const Grant again = ask(*first, query)->grant();

    first->home->abandon(query.request, grant.attempt);
    fleet.settle();

    EXPECT_TRUE(fleet.start(query, again, "agent-1").ok());
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
}

// An agent that died before the request was granted cannot have received it. It must not make the outcome unknown
// although its address is still remembered.
TEST_F(HomeAbandonTest, abandon_agentDeadBeforeGrant_releasesReservation)
{
    fleet.agents.kill("agent-2");
    fleet.agents.setGone("agent-2");
    fleet.advance(std::chrono::seconds(2));
    const AdmissionQuery query = nonIdempotent("r");
    const Grant grant = ask(*first, query)->grant();

    first->home->abandon(query.request, grant.attempt);
    fleet.settle();

    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(ask(*first, query)->grant().reservedTokens, kWorstCase);
}
