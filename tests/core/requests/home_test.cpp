#include "homefixture.h"

using namespace RadishSwitch;

class HomeTest : public HomeFixture
{
};

TEST_F(HomeTest, admit_unkeyed_reservesAndGrantsWithoutOwnership)
{
    const Grant grant = ask(*first, unkeyed("r"))->grant();

    EXPECT_EQ(grant.epoch, 0u);
    EXPECT_EQ(grant.reservedTokens, kWorstCase);
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
    EXPECT_EQ(fleet.store.calls(), 0);
}

TEST_F(HomeTest, admit_free_reservesNothing)
{
    AdmissionQuery query = unkeyed("r");
    query.worstCaseTokens = 0;

    const Grant grant = ask(*first, query)->grant();

    EXPECT_TRUE(grant.portion.isEmpty());
    first->home->settle(query.request, {});
    EXPECT_EQ(first->home->openRequests(), 0u);
    EXPECT_TRUE(bills(*first, query).empty());
}

TEST_F(HomeTest, settle_twice_billsOnce)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");

    first->home->settle(query.request, {kUsed, false, false, grant.attempt});
    first->home->settle(query.request, {kUsed, false, false, grant.attempt});

    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens - kUsed);
}

TEST_F(HomeTest, settle_notRun_freesAndMayRunAgain)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = ask(*first, query)->grant();
    first->home->settle(query.request, {0, true, false, grant.attempt});
    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);

    const Grant again = ask(*first, query)->grant();

    EXPECT_NE(again.attempt, grant.attempt);
    EXPECT_EQ(first->reservations.reservedTwice(), 0);
}

// An entry sends the settlement "not run" twice because the confirmation of the first was lost. Between the two, the
// caller's retry is granted. The second copy names the earlier grant and must not release the reservation of the later
// one.
TEST_F(HomeTest, settle_lateCopyOfEarlierGrant_leavesLaterGrant)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = ask(*first, query)->grant();
    first->home->settle(query.request, {0, true, false, grant.attempt});
    const Grant again = startRun(*first, query, "agent-1");

    first->home->settle(query.request, {0, true, false, grant.attempt});
    first->home->abandon(query.request, grant.attempt);
    first->home->settle(query.request, {kUsed, false, false, again.attempt});

    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
}

// A caller retries at another entry at once, so both queries reach the home before the run is dispatched. The second
// query waits for the dispatch and is then attached to the same run: one reservation, one run, one bill, and two
// complete answers.
TEST_F(HomeTest, admit_retryBeforeDispatch_waitsAndAttaches)
{
    const AdmissionQuery query = keyed("r");
    const Asked one = ask(*first, query);
    const Asked two = ask(*first, query);
    EXPECT_FALSE(two->isAnswered());

    first->home->noteDispatched(query.request, one->grant().attempt, "agent-1");
    fleet.settle();

    EXPECT_EQ(two->duplicate(), (DuplicateRun{"agent-1", one->grant().attempt, false}));
    EXPECT_EQ(first->reservations.reservedTwice(), 0);
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
}

TEST_F(HomeTest, admit_retryAfterEnd_attachesToBufferedAnswer)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    first->home->settle(query.request, {kUsed, false, false, grant.attempt});

    const Asked retry = ask(*first, query);

    EXPECT_TRUE(retry->duplicate().isDone);
    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
}

TEST_F(HomeTest, admit_retryWhileFirstIsRefused_isAdmittedOnItsOwn)
{
    AdmissionQuery large = keyed("r");
    large.worstCaseTokens = SmallFleet::kTokens + 1;
    const Asked one = first->ask(large);
    const Asked two = first->ask(keyed("r"));
    fleet.settle();

    EXPECT_EQ(one->failure(), FailureCode::BudgetExhausted);
    EXPECT_EQ(two->grant().reservedTokens, kWorstCase);
    // The second query with the same key has been granted, so the first answer cannot say that the request does not
    // run.
    EXPECT_EQ(one->outcome(), RunOutcome::Unknown);
}

// The entry that sent the first query never reports where it sent the run. The retry that waits for it is answered at
// its own caller's deadline, and is not told that nothing ran.
TEST_F(HomeTest, admit_waiterReachesDeadline_outcomeIsUnknown)
{
    ask(*first, keyed("r"));
    AdmissionQuery query = keyed("r");
    query.deadline = fleet.timers.now() + std::chrono::seconds(1);
    const Asked retry = ask(*first, query);

    fleet.advance(std::chrono::seconds(1));

    ASSERT_TRUE(retry->isAnswered());
    EXPECT_EQ(retry->failure(), FailureCode::DeadlineExceeded);
    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

TEST_F(HomeTest, admit_keyWithOtherBody_isRefused)
{
    startRun(*first, keyed("r"), "agent-1");
    AdmissionQuery other = keyed("r");
    other.fingerprint = "another body";

    EXPECT_EQ(ask(*first, other)->failure(), FailureCode::KeyReusedForOtherBody);
}

TEST_F(HomeTest, admit_endedLongerAgoThanRetention_runsAgain)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    first->home->settle(query.request, {kUsed, false, false, grant.attempt});

    fleet.advance(RequestRegistrySettings().retention + std::chrono::seconds(2));

    EXPECT_NE(ask(*first, keyed("r"))->grant().attempt, grant.attempt);
}

TEST_F(HomeTest, admit_failedWithoutCharge_idempotentRunsAgain)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    first->home->settle(query.request, {0, false, true, grant.attempt});

    EXPECT_NE(ask(*first, query)->grant().attempt, grant.attempt);
}

// A non-idempotent request reached the service, which failed while processing it. Nobody knows whether it took effect,
// so every retry is answered with an unknown outcome and none is run.
TEST_F(HomeTest, admit_failedNonIdempotent_neverRunsAgain)
{
    const AdmissionQuery query = nonIdempotent("r");
    const Grant grant = startRun(*first, query, "agent-1");
    first->home->settle(query.request, {0, false, true, grant.attempt});

    for (int n = 0; n < 3; ++n) {
        const Asked retry = ask(*first, query);
        EXPECT_EQ(retry->failure(), FailureCode::OutcomeUnknown);
        EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
        fleet.advance(std::chrono::minutes(11));
    }
}

TEST_F(HomeTest, admit_noBudget_saysNotRunWithProof)
{
    AdmissionQuery query = keyed("r");
    query.worstCaseTokens = SmallFleet::kTokens + 1;

    const Asked asked = ask(*first, query);

    EXPECT_EQ(asked->failure(), FailureCode::BudgetExhausted);
    EXPECT_EQ(asked->outcome(), RunOutcome::NotRun);
}

// The owner of a key shard was deposed without noticing, and its successor ran the request. A retry at the former owner
// is refused for lack of budget there. The answer "not run" would be false, so the home first reads the ownership
// record and learns that it was deposed.
TEST_F(HomeTest, admit_noBudgetAtDeposedHome_doesNotSayNotRun)
{
    ASSERT_TRUE(ask(*first, keyed("other"))->isAnswered());
    setDead(*first, *second);
    startRun(*second, keyed("r"), "agent-1");
    AdmissionQuery query = keyed("r");
    query.worstCaseTokens = SmallFleet::kTokens + 1;

    const Asked retry = ask(*first, query);

    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

// The store does not answer the read that would prove "not run". The refusal waits for the proof only until the confirm
// limit and is then sent with an unknown outcome.
TEST_F(HomeTest, admit_noBudgetWhileStoreSilent_isAnsweredWithinTheLimit)
{
    ask(*first, keyed("other"));
    fleet.store.setSilent(true);
    AdmissionQuery query = keyed("r");
    query.worstCaseTokens = SmallFleet::kTokens + 1;
    const Asked asked = ask(*first, query);

    fleet.advance(HomeSettings().confirmLimit);

    ASSERT_TRUE(asked->isAnswered());
    EXPECT_EQ(asked->failure(), FailureCode::BudgetExhausted);
    EXPECT_EQ(asked->outcome(), RunOutcome::Unknown);
}

// Without the store a non-idempotent request cannot be claimed, so it is refused at once with a time to retry. Without
// the store the home cannot prove either that the key did not run under another owner, so the answer does not say "not
// run".
TEST_F(HomeTest, admit_nonIdempotentWhileStoreUnavailable_isRefusedAtOnce)
{
    ask(*first, keyed("other"));
    fleet.store.setUnavailable(true);

    const Asked asked = ask(*first, nonIdempotent("r"));

    ASSERT_TRUE(asked->isAnswered());
    EXPECT_EQ(asked->failure(), FailureCode::StoreUnavailable);
    EXPECT_EQ(asked->outcome(), RunOutcome::Unknown);
    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens - kWorstCase);
}

TEST_F(HomeTest, admit_idempotentWhileStoreUnavailable_isGrantedByOwner)
{
    ask(*first, keyed("other"));
    fleet.store.setUnavailable(true);

    EXPECT_EQ(ask(*first, keyed("r"))->grant().reservedTokens, kWorstCase);
}

// The write of a claim takes effect, but its answer is lost. The home reads the object again, finds its own claim, and
// grants the request once.
TEST_F(HomeTest, admit_answerOfClaimLost_runsOnce)
{
    ask(*first, keyed("other"));
    fleet.store.loseAnswersOfNextWrites(1);

    const Asked asked = ask(*first, nonIdempotent("r"));

    EXPECT_EQ(asked->grant().reservedTokens, kWorstCase);
    EXPECT_EQ(first->reservations.reservedTwice(), 0);
}

TEST_F(HomeTest, admit_atOtherEntryWhileOwnerAlive_isRedirectedToOwner)
{
    ask(*first, keyed("r"));

    const Asked asked = ask(*second, keyed("r"));

    EXPECT_EQ(asked->failure(), FailureCode::HomeElsewhere);
    EXPECT_EQ(second->home->ownerOf(second->home->shardOf(keyed("r").budget))->address, "first:1");
}

// Two regions are partitioned, and a retry reaches the side without the key's owner. The request may be running on the
// other side, so the caller is told at once that the outcome is unknown and when to retry.
TEST_F(HomeTest, admit_ownerBeyondPartition_outcomeIsUnknownWithRetryAfter)
{
    startRun(*first, keyed("r"), "agent-1");
    second->directory.setLiveness(IncarnationId("first"), EntryLiveness::Unreachable);

    const Asked retry = ask(*second, keyed("r"));

    EXPECT_EQ(retry->failure(), FailureCode::OutcomeUnknown);
    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
    EXPECT_TRUE(retryAfterOf(retry->answer->status()).has_value());
}

TEST_F(HomeTest, admit_registryFull_refusesInsteadOfForgetting)
{
    HomeSettings settings;
    settings.registry.maximum = 1;
    SmallFleet small(settings);
    const auto entry = small.makeEntry("only");
    const Asked one = entry->ask(keyed("r1"));
    const Asked two = entry->ask(keyed("r2"));
    small.settle();

    EXPECT_TRUE(one->answer->ok());
    EXPECT_EQ(two->failure(), FailureCode::Overloaded);
}

TEST_F(HomeTest, stop_withOpenRequest_handsOverAtOnceAndWaitsForItsEnd)
{
    const AdmissionQuery query = keyed("r");
    const Grant grant = startRun(*first, query, "agent-1");
    bool isStopped = false;
    first->home->stop([&] {
        isStopped = true;
    });
    fleet.settle();
    EXPECT_FALSE(isStopped);
    EXPECT_EQ(ask(*first, keyed("new"))->failure(), FailureCode::Draining);

    // The successor finds the run at the agent; the stopping home still bills it.
    EXPECT_EQ(ask(*second, query)->duplicate().attempt, grant.attempt);
    first->home->settle(query.request, {kUsed, false, false, grant.attempt});
    fleet.settle();

    EXPECT_TRUE(isStopped);
    EXPECT_EQ(bills(*first, query), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(bills(*second, query).empty());
}
