#include "homefixture.h"

using namespace RadishSwitch;

class HomeTakeoverTest : public HomeFixture
{
};

// The home of a key dies while its request runs. The retry reaches another entry, which takes over the shard, queries
// the agents first and attaches the retry to the run. The tokens are billed through the dead home's portion by what the
// agent charged; the new home bills nothing.
TEST_F(HomeTakeoverTest, admit_ownerDeadWhileRunning_attachesAndBillsOnce)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    kill(first, *second);

    EXPECT_EQ(ask(*second, query)->duplicate().attempt, grant.attempt);
    finishRun(grant, "agent-1");
    second->home->settle(query.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(20));

    EXPECT_TRUE(ask(*second, query)->duplicate().isDone);
    EXPECT_TRUE(bills(*second, query).empty());
    EXPECT_EQ(chargedAtAgents(grant), kUsed);
}

// The home dies after it granted a request and before the run reached an agent. The new home finds no run and grants
// the request again. When the first run arrives, the agent must refuse it because of its lower epoch.
TEST_F(HomeTakeoverTest, admit_ownerDeadBeforeDispatch_grantsAndOldRunIsRefused)
{
    const AdmissionQuery query = keyed("r");
    const Grant old = ask(*first, query)->grant();
    kill(first, *second);

    const Grant grant = startRun(*second, query, "agent-2");

    EXPECT_EQ(grant.epoch, old.epoch + 1);
    EXPECT_EQ(failureCode(fleet.start(query, old, "agent-1").status()), FailureCode::StaleEpoch);
}

// A retry arrives while the new owner is still querying the agents. It must not be granted before the last agent has
// answered.
TEST_F(HomeTakeoverTest, admit_beforeAgentsAnswered_waitsForTheirAnswers)
{
    const AdmissionQuery query = keyed("r");
    startRun(*first, query, "agent-2");
    kill(first, *second);
    const Asked retry = second->ask(query);
    while (!retry->isAnswered()) {
        ASSERT_TRUE(fleet.tasks.runOne());
    }

    EXPECT_EQ(retry->duplicate().agentAddress, "agent-2");
}

// The home of a key is paused for minutes and considered dead, and its successor runs a request. Then the paused home
// resumes and grants the caller's retry. The agent refuses that run as stale, the entry reports it, and the old home
// looks up the shard's new owner: one run, one bill.
TEST_F(HomeTakeoverTest, admit_pausedOwnerResumes_isRefusedAtAgentAndRedirects)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*second, query, "agent-1");

    const Grant stale = ask(*first, query)->grant();
    EXPECT_EQ(failureCode(fleet.start(query, stale, "agent-2").status()), FailureCode::StaleEpoch);
    first->home->settle(query.request, {0, true, false, stale.attempt});
    first->home->noteStaleEpoch(stale.shard, stale.epoch);
    fleet.settle();

    EXPECT_EQ(ask(*first, query)->failure(), FailureCode::HomeElsewhere);
    finishRun(grant, "agent-1");
    second->home->settle(query.request, {kUsed, false, false, grant.attempt});
    EXPECT_EQ(bills(*second, query), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(bills(*first, query).empty());
}

// The shard changes its owner twice while a request runs. Each owner finds the run at its agent, but only the home that
// reserved the tokens bills it.
TEST_F(HomeTakeoverTest, admit_ownerMovedTwiceWhileOpen_attachesEachTime)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    setDead(*first, *second);
    EXPECT_EQ(ask(*second, query)->duplicate().attempt, grant.attempt);
    const auto third = fleet.makeEntry("third");
    setDead(*second, *third);
    EXPECT_EQ(ask(*third, query)->duplicate().attempt, grant.attempt);

    finishRun(grant, "agent-1");
    first->home->settle(query.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(20));

    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(bills(*second, query).empty());
    EXPECT_TRUE(bills(*third, query).empty());
    EXPECT_TRUE(ask(*third, query)->duplicate().isDone);
}

// An agent that may have a run cannot be reached. Claims then decide on non-idempotent requests: a request that the
// dead owner claimed must not run again, and a request without a claim runs.
TEST_F(HomeTakeoverTest, admit_agentUnreachable_nonIdempotentIsDecidedByClaim)
{
    const AdmissionQuery claimed = nonIdempotent("claimed");
    startRun(*first, claimed, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);

    EXPECT_EQ(ask(*second, claimed)->failure(), FailureCode::OutcomeUnknown);
    const AdmissionQuery fresh = nonIdempotent("fresh");
    const Grant grant = startRun(*second, fresh, "agent-1");
    second->home->settle(fresh.request, {kUsed, false, false, grant.attempt});

    EXPECT_EQ(bills(*second, fresh), std::vector<std::int64_t>{kUsed});
}

// The agent with the first run cannot be reached, so the idempotent retry runs at another agent. When the first agent
// is reachable again, it reports its run and charge. The first charge is billed, and the retry's reservation is
// released without a bill.
TEST_F(HomeTakeoverTest, settle_earlierRunReportedLater_isNotBilledTwice)
{
    const AdmissionQuery query = keyed("r");
    const Grant old = startRun(*first, query, "agent-2");
    finishRun(old, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);

    const Grant grant = startRun(*second, query, "agent-1");
    second->home->settle(query.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(10));
    EXPECT_EQ(second->reservations.reserved(), kWorstCase);
    fleet.agents.setCut("second", "agent-2", false);
    fleet.advance(std::chrono::seconds(11));

    EXPECT_TRUE(bills(*second, query).empty());
    EXPECT_EQ(second->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(chargedAtAgents(old), kUsed);
}

// The first run has not ended when its agent is reachable again. The retry's bill waits for the end of that run, and is
// made when the run fails.
TEST_F(HomeTakeoverTest, settle_earlierRunStillRunning_billWaitsForItsEnd)
{
    const AdmissionQuery query = keyed("r");
    const Grant old = startRun(*first, query, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    const Grant grant = startRun(*second, query, "agent-1");
    second->home->settle(query.request, {kUsed, false, false, grant.attempt});
    fleet.agents.setCut("second", "agent-2", false);
    fleet.advance(std::chrono::seconds(11));
    EXPECT_EQ(second->reservations.reserved(), kWorstCase);

    fleet.agents.table("agent-2")->noteFailed(old.attempt);
    fleet.advance(std::chrono::seconds(20));

    EXPECT_EQ(bills(*second, query), std::vector<std::int64_t>{kUsed});
}

// A bill waits for an agent that cannot be reached. It must be made when that agent is gone for good.
TEST_F(HomeTakeoverTest, settle_unreachableAgentGone_bills)
{
    ask(*first, keyed("other"));
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*second, query, "agent-1");
    second->home->settle(query.request, {kUsed, false, false, grant.attempt});
    EXPECT_TRUE(bills(*second, query).empty());

    fleet.agents.kill("agent-2");
    fleet.agents.unlist("agent-2");
    fleet.advance(std::chrono::seconds(2));

    EXPECT_EQ(bills(*second, query), std::vector<std::int64_t>{kUsed});
}

// While an agent cannot be reached, it may be running the request. A refusal must not say "not run" then.
TEST_F(HomeTakeoverTest, admit_noBudgetWhileAgentUnreachable_doesNotSayNotRun)
{
    const AdmissionQuery query = keyed("r");
    startRun(*first, query, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    AdmissionQuery large = query;
    large.worstCaseTokens = SmallFleet::kTokens + 1;

    const Asked retry = ask(*second, large);

    EXPECT_EQ(retry->failure(), FailureCode::BudgetExhausted);
    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

// The owner claimed a non-idempotent request and died before the run was sent. Nobody can prove that it was not sent,
// so it must not run again.
TEST_F(HomeTakeoverTest, admit_nonIdempotentClaimedByDeadOwner_outcomeIsUnknown)
{
    ask(*first, nonIdempotent("r"));
    kill(first, *second);

    const Asked retry = ask(*second, nonIdempotent("r"));

    EXPECT_EQ(retry->failure(), FailureCode::OutcomeUnknown);
    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

// A non-idempotent request ran and was answered, and hours later only its claim in the store is left. The retry is told
// that the answer is gone.
TEST_F(HomeTakeoverTest, admit_nonIdempotentDoneHoursAgo_answerIsGoneAndNothingRuns)
{
    const AdmissionQuery query = nonIdempotent("r");
    const Grant grant = startRun(*first, query, "agent-1");
    finishRun(grant, "agent-1");
    first->home->settle(query.request, {kUsed, false, false, grant.attempt});
    fleet.advance(std::chrono::seconds(3));
    kill(first, *second);
    fleet.timers.advance(std::chrono::hours(3));
    for (const std::string address : {"agent-1", "agent-2"}) {
        fleet.agents.table(address)->expire();
    }

    const Asked retry = ask(*second, nonIdempotent("r"));

    EXPECT_EQ(retry->failure(), FailureCode::AnswerGone);
    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

// Two entries both believe that they own the shard and claim the same non-idempotent request. Only one of them may
// grant it.
TEST_F(HomeTakeoverTest, admit_nonIdempotentAtTwoSupposedOwners_oneIsGranted)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    ask(*second, keyed("another"));

    const Asked one = first->ask(nonIdempotent("r"));
    const Asked two = second->ask(nonIdempotent("r"));
    fleet.settle();

    EXPECT_NE(one->answer->ok(), two->answer->ok());
}

// An agent that becomes reachable after the takeover is queried as well, so that it refuses runs of the old owner.
TEST_F(HomeTakeoverTest, refresh_agentReachableAgain_refusesRunsOfOldOwner)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    ask(*second, keyed("another"));
    fleet.agents.setCut("second", "agent-2", false);
    fleet.advance(std::chrono::seconds(11));

    const AdmissionQuery query = keyed("r");
    const Grant stale{PortionId("portion-of-first"), second->home->shardOf(query.budget), 1, kWorstCase,
                      AttemptId("stale")};

    EXPECT_EQ(failureCode(fleet.start(query, stale, "agent-2").status()), FailureCode::StaleEpoch);
}

// The new owner grants a request while an agent cannot be reached, and dies before it settles. The earlier owner's run
// may have been billed for the same request, which only the new owner could have found out. So the agent records the
// charge as provisional, and whoever closes the portion withholds it.
TEST_F(HomeTakeoverTest, admit_agentUnreachable_grantIsChargedSeparately)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*second, query, "agent-1");
    finishRun(grant, "agent-1");

    EXPECT_TRUE(grant.isProvisional);
    const auto closed = fleet.agents.table("agent-1")->closePortions({grant.portion});
    EXPECT_EQ(closed.front().provisionalTokens, kUsed);
    EXPECT_TRUE(closed.front().charges.empty());
}

// Two entries each considered the other dead, and both granted the same request while the agents could not be reached.
// When the agents are reachable again, each owner finds the other's charge. The earlier owner bills; if both dropped
// their bills, nobody would be billed.
TEST_F(HomeTakeoverTest, settle_grantedByTwoOwners_earlierOwnerBills)
{
    ask(*second, keyed("other"));
    setDead(*second, *first);
    setDead(*first, *second);
    for (const std::string entry : {"first", "second"}) {
        fleet.agents.setCut(entry, "agent-1", true);
        fleet.agents.setCut(entry, "agent-2", true);
    }
    const AdmissionQuery query = keyed("r");
    const Grant earlier = startRun(*first, query, "agent-1");
    second->home->noteStaleEpoch(earlier.shard, 1);
    fleet.settle();
    const Grant later = startRun(*second, query, "agent-2");
    ASSERT_LT(earlier.epoch, later.epoch);
    finishRun(earlier, "agent-1");
    finishRun(later, "agent-2");
    first->home->settle(query.request, {kUsed, false, false, earlier.attempt});
    second->home->settle(query.request, {kUsed, false, false, later.attempt});
    for (const std::string entry : {"first", "second"}) {
        fleet.agents.setCut(entry, "agent-1", false);
        fleet.agents.setCut(entry, "agent-2", false);
    }
    fleet.advance(std::chrono::seconds(4));

    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(bills(*second, query).empty());
}

// The shard goes to another owner while a request is being admitted. The old owner must not grant it and releases what
// it has reserved.
TEST_F(HomeTakeoverTest, admit_shardLostDuringAdmission_isRedirectedAndReleased)
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

// An agent that could not be reached reports a run while the retry of the same request is being admitted. The retry is
// attached to that run.
TEST_F(HomeTakeoverTest, admit_earlierRunReportedDuringAdmission_attaches)
{
    const AdmissionQuery query = keyed("r");
    const Grant old = startRun(*first, query, "agent-2");
    kill(first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    ask(*second, keyed("other"));
    second->reservations.setDelayingAnswers(true);
    const Asked retry = ask(*second, query);
    fleet.agents.setCut("second", "agent-2", false);
    fleet.advance(std::chrono::seconds(2));
    ASSERT_FALSE(retry->isAnswered());

    second->reservations.setDelayingAnswers(false);
    fleet.settle();

    EXPECT_EQ(retry->duplicate().attempt, old.attempt);
    EXPECT_EQ(second->reservations.free(), SmallFleet::kTokens - kWorstCase);
}

// An owner that lost its shard and regained it must not use its old records, because another owner decided in the
// meantime.
TEST_F(HomeTakeoverTest, admit_shardLostAndRegained_usesReportsOfAgents)
{
    const AdmissionQuery query = keyed("r");
    const Grant failed = startRun(*first, query, "agent-1");
    fleet.agents.table("agent-1")->noteFailed(failed.attempt);
    first->home->settle(query.request, {0, false, true, failed.attempt});
    setDead(*first, *second);
    const Grant grant = startRun(*second, query, "agent-2");
    finishRun(grant, "agent-2");
    second->home->settle(query.request, {kUsed, false, false, grant.attempt});
    first->home->noteStaleEpoch(failed.shard, failed.epoch);
    fleet.settle();
    setDead(*second, *first);

    EXPECT_EQ(ask(*first, query)->duplicate().attempt, grant.attempt);
}

// A provisional grant is settled after its home lost the shard. Nobody can find out any more whether the request was
// billed elsewhere, so its tokens are withheld.
TEST_F(HomeTakeoverTest, settle_provisionalAfterShardLost_withholds)
{
    ask(*first, keyed("other"));
    setDead(*first, *second);
    fleet.agents.setCut("second", "agent-2", true);
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*second, query, "agent-1");
    const auto third = fleet.makeEntry("third");
    setDead(*second, *third);
    ask(*third, keyed("another"));
    second->home->noteStaleEpoch(grant.shard, grant.epoch);
    fleet.settle();

    second->home->settle(query.request, {kUsed, false, false, grant.attempt});

    EXPECT_TRUE(bills(*second, query).empty());
    EXPECT_EQ(second->reservations.withheld(), kWorstCase);
}

// The platform no longer lists a dead agent, but its address is remembered for an hour because it may have had a run.
// Neither a takeover nor a bill may wait for that hour.
TEST_F(HomeTakeoverTest, admit_deadAgentStillRemembered_doesNotWaitForIt)
{
    ask(*first, keyed("other"));
    kill(first, *second);
    fleet.agents.kill("agent-2");
    fleet.agents.setGone("agent-2");
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*second, query, "agent-1");
    fleet.settle();

    second->home->settle(query.request, {kUsed, false, false, grant.attempt});

    EXPECT_EQ(bills(*second, query), std::vector<std::int64_t>{kUsed});
}

// An agent that is draining finishes its runs after the platform has removed it from the list. It still answers, so its
// runs must be found.
TEST_F(HomeTakeoverTest, admit_leavingAgentStillAnswers_attachesToItsRun)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-2");
    kill(first, *second);
    fleet.agents.setGone("agent-2");

    EXPECT_EQ(ask(*second, query)->duplicate().attempt, grant.attempt);
}

// An entry that has just started takes over a shard before it knows any agent. Having no agent to query proves nothing,
// so the request waits for the hold limit and its grant is provisional.
TEST_F(HomeTakeoverTest, admit_noAgentKnownYet_grantIsProvisional)
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

// The connection to an agent delivers neither an answer nor a failure. Requests wait for it until the hold limit and
// are then granted provisionally.
TEST_F(HomeTakeoverTest, admit_agentSilent_waitsNoLongerThanHoldLimit)
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

TEST_F(HomeTakeoverTest, admit_agentSilentAndNotListed_doesNotWait)
{
    ask(*first, keyed("other"));
    kill(first, *second);
    fleet.agents.setSilent("agent-2");
    fleet.agents.setGone("agent-2");

    EXPECT_TRUE(ask(*second, keyed("r"))->grant().isProvisional);
}
