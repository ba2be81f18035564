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

// The new owner grants while an agent cannot be asked, and dies before it settled. The request may have been billed by
// the run of the earlier owner; only the new one could have found that out. So its agents keep the charge apart, and
// whoever closes its portion withholds it.
TEST_F(HomeTakeoverTest, grant_whileAgentCutOff_isChargedApart)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*second, question, "agent-1");
    finishRun(grant, "agent-1");

    EXPECT_TRUE(grant.isProvisional);
    const auto closed = fleet.agents.table("agent-1")->closePortions({grant.portion});
    EXPECT_EQ(closed.front().provisionalTokens, kUsed);
    EXPECT_TRUE(closed.front().charges.empty());
}

// Each of two entries took the other for dead, and both had the same request run while agents could not be asked. When
// the agents are back each finds the other's charge. The earlier owner bills; if both gave way nobody would.
TEST_F(HomeTakeoverTest, settle_twoOwnersHadItRun_theEarlierBills)
{
    ask(*second, keyed("other"));
    setDead(*second, *first);
    setDead(*first, *second);
    for (const std::string entry : {"first", "second"}) {
        fleet.agents.setCut(entry, "agent-1", true);
        fleet.agents.setCut(entry, "agent-2", true);
    }
    const AdmitQuestion question = keyed("r");
    const Grant earlier = startRun(*first, question, "agent-1");
    second->home->noteStaleEpoch(earlier.shard, 1);
    fleet.settle();
    const Grant later = startRun(*second, question, "agent-2");
    ASSERT_LT(earlier.epoch, later.epoch);
    finishRun(earlier, "agent-1");
    finishRun(later, "agent-2");
    first->home->settle(question.request, {kUsed, false, false, earlier.attempt});
    second->home->settle(question.request, {kUsed, false, false, later.attempt});
    for (const std::string entry : {"first", "second"}) {
        fleet.agents.setCut(entry, "agent-1", false);
        fleet.agents.setCut(entry, "agent-2", false);
    }
    fleet.advance(std::chrono::seconds(4));

    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(bills(*second, question).empty());
}

// The shard goes to another owner while a request is on its way to a grant. The old owner grants nothing any more and
// gives back what it reserved.
TEST_F(HomeTakeoverTest, admit_shardLostOnTheWay_isSentElsewhereAndFreed)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    ask(*second, keyed("another"));
    first->reservations.setDelayingAnswers(true);
    const Asked asked = ask(*first, keyed("r"));
    first->home->noteStaleEpoch(first->home->shardOf(keyed("r").budget), 1);
    fleet.settle();

    first->reservations.setDelayingAnswers(false);
    fleet.settle();

    EXPECT_EQ(asked->failure(), FailureCode::HomeElsewhere);
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
}

// An agent that could not be asked tells of the run just while its retry is being admitted: the retry is sent there.
TEST_F(HomeTakeoverTest, admit_earlierRunTurnsUpOnTheWay_attaches)
{
    const AdmitQuestion question = keyed("r");
    const Grant old = startRun(*first, question, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    ask(*second, keyed("other"));
    second->reservations.setDelayingAnswers(true);
    const Asked retry = ask(*second, question);
    fleet.agents.setCut("second", "agent-2", false);
    fleet.advance(std::chrono::seconds(2));
    ASSERT_FALSE(retry->isAnswered());

    second->reservations.setDelayingAnswers(false);
    fleet.settle();

    EXPECT_EQ(retry->duplicate().attempt, old.attempt);
    EXPECT_EQ(second->reservations.free(), SmallFleet::kTokens - kWorstCase);
}

// An owner that lost its shard and gets it back must not go by what it knew before: another owner decided meanwhile.
TEST_F(HomeTakeoverTest, admit_shardLostAndRegained_goesByTheAgentsNotByOldMemory)
{
    const AdmitQuestion question = keyed("r");
    const Grant failed = startRun(*first, question, "agent-1");
    fleet.agents.table("agent-1")->noteFailed(failed.attempt);
    first->home->settle(question.request, {0, false, true, failed.attempt});
    setDead(*first, *second);
    const Grant grant = startRun(*second, question, "agent-2");
    finishRun(grant, "agent-2");
    second->home->settle(question.request, {kUsed, false, false, grant.attempt});
    first->home->noteStaleEpoch(failed.shard, failed.epoch);
    fleet.settle();
    setDead(*second, *first);

    EXPECT_EQ(ask(*first, question)->duplicate().attempt, grant.attempt);
}

// A request granted on a guess ends after its home lost the shard: nobody can find out any more whether it was billed
// elsewhere, so its tokens are withheld.
TEST_F(HomeTakeoverTest, settle_provisionalAfterShardWasLost_withholds)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*second, question, "agent-1");
    const auto third = fleet.makeEntry("third");
    setDead(*second, *third);
    ask(*third, keyed("another"));
    second->home->noteStaleEpoch(grant.shard, grant.epoch);
    fleet.settle();

    second->home->settle(question.request, {kUsed, false, false, grant.attempt});

    EXPECT_TRUE(bills(*second, question).empty());
    EXPECT_EQ(second->reservations.withheld(), kWorstCase);
}

// A takeover after agents have died: the platform lists them no more, but their addresses are remembered for an hour,
// as of agents that may hold a run. They hold nothing up, and no bill waits an hour for them.
TEST_F(HomeTakeoverTest, admit_deadAgentsStillRemembered_goesOnWithoutThem)
{
    ask(*first, keyed("other"));
    kill(first, *second);
    fleet.agents.kill("agent-2");
    fleet.agents.setGone("agent-2");
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*second, question, "agent-1");
    fleet.settle();

    second->home->settle(question.request, {kUsed, false, false, grant.attempt});

    EXPECT_EQ(bills(*second, question), std::vector<std::int64_t>{kUsed});
}

// An agent that is leaving ends its runs after the platform has dropped it from its list. It answers, so it counts.
TEST_F(HomeTakeoverTest, admit_leavingAgentStillAnswers_itsRunIsFound)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-2");
    kill(first, *second);
    fleet.agents.setGone("agent-2");

    EXPECT_EQ(ask(*second, question)->duplicate().attempt, grant.attempt);
}

// An entry that has just started takes a shard over before it has heard of any agent. Nothing is proved by asking
// nobody: it waits, and what it grants then is provisional.
TEST_F(HomeTakeoverTest, admit_noAgentKnownYet_provesNothing)
{
    startRun(*first, keyed("r"), "agent-1");
    kill(first, *second);
    fleet.agents.unlist("agent-1");
    fleet.agents.unlist("agent-2");
    const Asked retry = ask(*second, keyed("r"));
    EXPECT_FALSE(retry->isAnswered());

    fleet.advance(HomeSettings().holdLimit);

    EXPECT_TRUE(retry->grant().isProvisional);
}

// The connection to an agent has gone silent: neither an answer nor a failure comes. Requests wait for it, but not for
// long, and then go on without what it knows. One that the platform does not list any more is not waited for at all.
TEST_F(HomeTakeoverTest, admit_agentSilent_isHeldNoLongerThanTheLimit)
{
    ask(*first, keyed("other"));
    kill(first, *second);
    fleet.agents.setSilent("agent-2");
    const Asked held = ask(*second, keyed("r"));
    fleet.advance(HomeSettings().holdLimit / 2);
    EXPECT_FALSE(held->isAnswered());

    fleet.advance(HomeSettings().holdLimit / 2);

    EXPECT_TRUE(held->grant().isProvisional);
}

TEST_F(HomeTakeoverTest, admit_agentSilentAndNotListed_isNotHeld)
{
    ask(*first, keyed("other"));
    kill(first, *second);
    fleet.agents.setSilent("agent-2");
    fleet.agents.setGone("agent-2");

    EXPECT_TRUE(ask(*second, keyed("r"))->grant().isProvisional);
}
