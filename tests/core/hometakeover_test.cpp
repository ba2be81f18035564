#include "homefixture.h"

using namespace RadishSwitch;

class HomeTakeoverTest : public HomeFixture
{
};

// The home of a key dies while its run goes on. The retry reaches another entry, which takes the shard over, asks the
// agents first, and sends the retry to the run. The dead home's portion is billed by what the agent charged to it;
// the new home bills nothing.
TEST_F(HomeTakeoverTest, admit_ownerDeadWhileRunning_attachesAndBillsOnce)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    kill(first, *second);

    EXPECT_EQ(ask(*second, question)->duplicate().attempt, grant.attempt);
    finishRun(grant, "agent-1");
    second->home->settle(question.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(20));

    EXPECT_TRUE(ask(*second, question)->duplicate().isDone);
    EXPECT_TRUE(bills(*second, question).empty());
    EXPECT_EQ(chargedAtAgents(grant), kUsed);
}

// The home dies after it granted, before the run reached an agent. The new home finds no trace of it and grants
// afresh; the old run comes late and is refused as of an earlier owner.
TEST_F(HomeTakeoverTest, admit_ownerDeadBeforeDispatch_grantsAndFencesTheOldRunOff)
{
    const AdmitQuestion question = keyed("r");
    const Grant old = ask(*first, question)->grant();
    kill(first, *second);

    const Grant grant = startRun(*second, question, "agent-2");

    EXPECT_EQ(grant.epoch, old.epoch + 1);
    EXPECT_EQ(failureCode(fleet.start(question, old, "agent-1").status()), FailureCode::StaleEpoch);
}

// Retries come while the agents are being asked: none is granted before the last agent has answered.
TEST_F(HomeTakeoverTest, admit_beforeAgentsAnswered_isHeldUntilTheyDid)
{
    const AdmitQuestion question = keyed("r");
    startRun(*first, question, "agent-2");
    kill(first, *second);
    const Asked retry = second->ask(question);
    while (!retry->isAnswered()) {
        ASSERT_TRUE(fleet.tasks.runOne());
    }

    EXPECT_EQ(retry->duplicate().agentAddress, "agent-2");
}

// The home of a key is paused for minutes and taken for dead; its successor runs a request. Then it goes on, unaware,
// and grants the caller's retry. The agent refuses the run, the entry says so, and the old home looks up who owns the
// shard now. One run, one bill.
TEST_F(HomeTakeoverTest, admit_pausedOwnerGoesOnUnaware_isRefusedAtAgentAndLearns)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*second, question, "agent-1");

    const Grant stale = ask(*first, question)->grant();
    EXPECT_EQ(failureCode(fleet.start(question, stale, "agent-2").status()), FailureCode::StaleEpoch);
    first->home->settle(question.request, {0, true, false, stale.attempt});
    first->home->noteStaleEpoch(stale.shard, stale.epoch);
    fleet.settle();

    EXPECT_EQ(ask(*first, question)->failure(), FailureCode::HomeElsewhere);
    finishRun(grant, "agent-1");
    second->home->settle(question.request, {kUsed, false, false, grant.attempt});
    EXPECT_EQ(bills(*second, question), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(bills(*first, question).empty());
}

// The owner moves while a request is open, and moves again. Each owner finds the run at its agent; only the one that
// reserved bills it.
TEST_F(HomeTakeoverTest, admit_ownerMovedTwiceWhileOpen_attachesEachTime)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    setDead(*first, *second);
    EXPECT_EQ(ask(*second, question)->duplicate().attempt, grant.attempt);
    const auto third = fleet.makeEntry("third");
    setDead(*second, *third);
    EXPECT_EQ(ask(*third, question)->duplicate().attempt, grant.attempt);

    finishRun(grant, "agent-1");
    first->home->settle(question.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(20));

    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(bills(*second, question).empty());
    EXPECT_TRUE(bills(*third, question).empty());
    EXPECT_TRUE(ask(*third, question)->duplicate().isDone);
}

// An agent that may hold the run cannot be asked. An order is decided by its claim: the one that the dead owner
// claimed is not repeated, one that nobody claimed runs.
TEST_F(HomeTakeoverTest, admit_agentCutOff_ordersAreDecidedByTheirClaims)
{
    const AdmitQuestion claimed = order("claimed");
    startRun(*first, claimed, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);

    EXPECT_EQ(ask(*second, claimed)->failure(), FailureCode::OutcomeUnknown);
    const AdmitQuestion fresh = order("fresh");
    const Grant grant = startRun(*second, fresh, "agent-1");
    second->home->settle(fresh.request, {kUsed, false, false, grant.attempt});

    EXPECT_EQ(bills(*second, fresh), std::vector<std::int64_t>{kUsed});
}

// The agent that holds the first run cannot be asked, so the idempotent retry runs elsewhere. When the agent is back
// it tells of its run and its charge: the first bill stands, and the retry's reservation is freed, not billed.
TEST_F(HomeTakeoverTest, settle_earlierRunTurnsUpLater_isNotBilledTwice)
{
    const AdmitQuestion question = keyed("r");
    const Grant old = startRun(*first, question, "agent-2");
    finishRun(old, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);

    const Grant grant = startRun(*second, question, "agent-1");
    second->home->settle(question.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(10));
    EXPECT_EQ(second->reservations.reserved(), kWorstCase);
    fleet.agents.setCut("second", "agent-2", false);
    fleet.advance(std::chrono::seconds(11));

    EXPECT_TRUE(bills(*second, question).empty());
    EXPECT_EQ(second->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(chargedAtAgents(old), kUsed);
}

// As above, but the earlier run is still going on when the agent is back: the bill waits for its end.
TEST_F(HomeTakeoverTest, settle_earlierRunStillGoesOn_waitsForItsEnd)
{
    const AdmitQuestion question = keyed("r");
    const Grant old = startRun(*first, question, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    const Grant grant = startRun(*second, question, "agent-1");
    second->home->settle(question.request, {kUsed, false, false, grant.attempt});
    fleet.agents.setCut("second", "agent-2", false);
    fleet.advance(std::chrono::seconds(11));
    EXPECT_EQ(second->reservations.reserved(), kWorstCase);

    fleet.agents.table("agent-2")->noteFailed(old.attempt);
    fleet.advance(std::chrono::seconds(20));

    EXPECT_EQ(bills(*second, question), std::vector<std::int64_t>{kUsed});
}

// The agent that could not be asked had never seen the request, or is gone for good: the waiting bill is due.
TEST_F(HomeTakeoverTest, settle_agentWithoutTheRunIsBackOrGone_bills)
{
    ask(*first, keyed("other"));
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*second, question, "agent-1");
    second->home->settle(question.request, {kUsed, false, false, grant.attempt});
    EXPECT_TRUE(bills(*second, question).empty());

    fleet.agents.kill("agent-2");
    fleet.agents.unlist("agent-2");
    fleet.advance(std::chrono::seconds(2));

    EXPECT_EQ(bills(*second, question), std::vector<std::int64_t>{kUsed});
}

// While an agent cannot be asked, a refusal cannot say "not run" of a key that the agent may be running.
TEST_F(HomeTakeoverTest, admit_noBudgetWhileAgentCutOff_doesNotSayNotRun)
{
    const AdmitQuestion question = keyed("r");
    startRun(*first, question, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    AdmitQuestion large = question;
    large.worstCaseTokens = SmallFleet::kTokens + 1;

    const Asked retry = ask(*second, large);

    EXPECT_EQ(retry->failure(), FailureCode::BudgetExhausted);
    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

// An order was claimed and the owner died before it was sent. Nobody can prove that it was not, so it is not repeated.
TEST_F(HomeTakeoverTest, admit_orderClaimedByDeadOwner_isUnknown)
{
    ask(*first, order("r"));
    kill(first, *second);

    const Asked retry = ask(*second, order("r"));

    EXPECT_EQ(retry->failure(), FailureCode::OutcomeUnknown);
    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

// An order ran, was answered, and everybody but the store has forgotten it. Its retry hours later is told so.
TEST_F(HomeTakeoverTest, admit_orderDoneHoursAgo_answerIsGoneAndNothingRuns)
{
    const AdmitQuestion question = order("r");
    const Grant grant = startRun(*first, question, "agent-1");
    finishRun(grant, "agent-1");
    first->home->settle(question.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(3));
    kill(first, *second);
    fleet.timers.advance(std::chrono::hours(3));
    for (const std::string address : {"agent-1", "agent-2"}) {
        fleet.agents.table(address)->expire();
    }

    const Asked retry = ask(*second, order("r"));

    EXPECT_EQ(retry->failure(), FailureCode::AnswerGone);
    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

// Entries that both believe to own the shard claim the same order. One of them runs it.
TEST_F(HomeTakeoverTest, admit_sameOrderAtTwoBelievingOwners_oneRuns)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    ask(*second, keyed("another"));

    const Asked one = first->ask(order("r"));
    const Asked two = second->ask(order("r"));
    fleet.settle();

    EXPECT_NE(one->answer->ok(), two->answer->ok());
}

// An agent that joins after the takeover is asked as well, so that it lets no run of the old owner start.
TEST_F(HomeTakeoverTest, refresh_agentBackAfterTakeover_fencesTheOldOwnerOff)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    ask(*second, keyed("another"));
    fleet.agents.setCut("second", "agent-2", false);
    fleet.advance(std::chrono::seconds(11));

    const AdmitQuestion question = keyed("r");
    const Grant stale{PortionId("portion-of-first"), second->home->shardOf(question.budget), 1, kWorstCase,
                      AttemptId("stale")};

    EXPECT_EQ(failureCode(fleet.start(question, stale, "agent-2").status()), FailureCode::StaleEpoch);
}
