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
    AdmitQuestion question = unkeyed("r");
    question.worstCaseTokens = 0;

    const Grant grant = ask(*first, question)->grant();

    EXPECT_TRUE(grant.portion.isEmpty());
    first->home->settle(question.request, {});
    EXPECT_EQ(first->home->openRequests(), 0u);
    EXPECT_TRUE(bills(*first, question).empty());
}

TEST_F(HomeTest, settle_toldTwice_billsOnce)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");

    first->home->settle(question.request, {kUsed, false, false, grant.attempt});
    first->home->settle(question.request, {kUsed, false, false, grant.attempt});

    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens - kUsed);
}

TEST_F(HomeTest, settle_notRun_freesAndMayRunAgain)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = ask(*first, question)->grant();
    first->home->settle(question.request, {0, true, false, grant.attempt});
    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens);

    const Grant again = ask(*first, question)->grant();

    EXPECT_NE(again.attempt, grant.attempt);
    EXPECT_EQ(first->reservations.reservedTwice(), 0);
}

// A settlement "not run" is sent twice because its receipt got lost. Between the two copies the caller's retry is
// granted. The late copy names the earlier grant and must not free the reservation of the later one.
TEST_F(HomeTest, settle_lateCopyOfEarlierGrant_leavesLaterGrant)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = ask(*first, question)->grant();
    first->home->settle(question.request, {0, true, false, grant.attempt});
    const Grant again = startRun(*first, question, "agent-1");

    first->home->settle(question.request, {0, true, false, grant.attempt});
    first->home->abandon(question.request, grant.attempt);
    first->home->settle(question.request, {kUsed, false, false, again.attempt});

    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
}

// A caller retries at another entry at once; both questions are in flight together. The second waits for the first to
// be dispatched and is then sent to the same run: one reservation, one run, one bill, two whole answers.
TEST_F(HomeTest, admit_retryBeforeDispatch_waitsAndAttaches)
{
    const AdmitQuestion question = keyed("r");
    const Asked one = ask(*first, question);
    const Asked two = ask(*first, question);
    EXPECT_FALSE(two->isAnswered());

    first->home->noteDispatched(question.request, one->grant().attempt, "agent-1");
    fleet.settle();

    EXPECT_EQ(two->duplicate(), (DuplicateRun{"agent-1", one->grant().attempt, false}));
    EXPECT_EQ(first->reservations.reservedTwice(), 0);
    EXPECT_EQ(first->reservations.reserved(), kWorstCase);
}

TEST_F(HomeTest, admit_retryAfterEnd_attachesToKeptAnswer)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    first->home->settle(question.request, {kUsed, false, false, grant.attempt});

    const Asked retry = ask(*first, question);

    EXPECT_TRUE(retry->duplicate().isDone);
    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
}

TEST_F(HomeTest, admit_retryWhileFirstIsRefused_isAdmittedOnItsOwn)
{
    AdmitQuestion large = keyed("r");
    large.worstCaseTokens = SmallFleet::kTokens + 1;
    const Asked one = first->ask(large);
    const Asked two = first->ask(keyed("r"));
    fleet.settle();

    EXPECT_EQ(one->failure(), FailureCode::BudgetExhausted);
    EXPECT_EQ(two->grant().reservedTokens, kWorstCase);
    // The same key is about to run, so the first answer can't say that it does not.
    EXPECT_EQ(one->outcome(), RunOutcome::Unknown);
}

// The entry that got the first question never says where it sent the run. The retry is answered when its own caller
// gives up, not later, and is not told that nothing ran.
TEST_F(HomeTest, admit_waitingPastItsDeadline_isAnsweredThenAsUnknown)
{
    ask(*first, keyed("r"));
    AdmitQuestion question = keyed("r");
    question.deadline = fleet.timers.now() + std::chrono::seconds(1);
    const Asked retry = ask(*first, question);

    fleet.advance(std::chrono::seconds(1));

    ASSERT_TRUE(retry->isAnswered());
    EXPECT_EQ(retry->failure(), FailureCode::DeadlineExceeded);
    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

TEST_F(HomeTest, admit_keyWithOtherBody_isTypedError)
{
    startRun(*first, keyed("r"), "agent-1");
    AdmitQuestion other = keyed("r");
    other.fingerprint = "another body";

    EXPECT_EQ(ask(*first, other)->failure(), FailureCode::KeyReusedForOtherBody);
}

TEST_F(HomeTest, admit_endedLongerAgoThanRetention_runsAgain)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    first->home->settle(question.request, {kUsed, false, false, grant.attempt});

    fleet.advance(RequestRegistrySettings().retention + std::chrono::seconds(2));

    EXPECT_NE(ask(*first, keyed("r"))->grant().attempt, grant.attempt);
}

TEST_F(HomeTest, admit_failedWithoutCharge_idempotentRunsAgain)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    first->home->settle(question.request, {0, false, true, grant.attempt});

    EXPECT_NE(ask(*first, question)->grant().attempt, grant.attempt);
}

// An order reached the service, which failed in the middle of it. Whether the blinds were ordered nobody knows, so
// every retry is told so and none is sent.
TEST_F(HomeTest, admit_failedNonIdempotent_neverRunsAgain)
{
    const AdmitQuestion question = order("r");
    const Grant grant = startRun(*first, question, "agent-1");
    first->home->settle(question.request, {0, false, true, grant.attempt});

    for (int n = 0; n < 3; ++n) {
        const Asked retry = ask(*first, question);
        EXPECT_EQ(retry->failure(), FailureCode::OutcomeUnknown);
        EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
        fleet.advance(std::chrono::minutes(11));
    }
}

TEST_F(HomeTest, admit_noBudget_saysNotRunWithProof)
{
    AdmitQuestion question = keyed("r");
    question.worstCaseTokens = SmallFleet::kTokens + 1;

    const Asked asked = ask(*first, question);

    EXPECT_EQ(asked->failure(), FailureCode::BudgetExhausted);
    EXPECT_EQ(asked->outcome(), RunOutcome::NotRun);
}

// The owner of a key was deposed without noticing; its successor ran the request. A retry that still reaches the old
// owner finds no budget there. "Not run" would be false; before it says so the home reads the owner's record, and
// learns better.
TEST_F(HomeTest, admit_noBudgetAtDeposedHome_doesNotSayNotRun)
{
    ASSERT_TRUE(ask(*first, keyed("other"))->isAnswered());
    setDead(*first, *second);
    startRun(*second, keyed("r"), "agent-1");
    AdmitQuestion question = keyed("r");
    question.worstCaseTokens = SmallFleet::kTokens + 1;

    const Asked retry = ask(*first, question);

    EXPECT_EQ(retry->outcome(), RunOutcome::Unknown);
}

// As above, but the store does not answer at all. The refusal is not held back for the proof: it goes out after half a
// second, without saying "not run".
TEST_F(HomeTest, admit_noBudgetWhileStoreSilent_isAnsweredWithinTheLimit)
{
    ask(*first, keyed("other"));
    fleet.store.setSilent(true);
    AdmitQuestion question = keyed("r");
    question.worstCaseTokens = SmallFleet::kTokens + 1;
    const Asked asked = ask(*first, question);

    fleet.advance(HomeSettings().confirmLimit);

    ASSERT_TRUE(asked->isAnswered());
    EXPECT_EQ(asked->failure(), FailureCode::BudgetExhausted);
    EXPECT_EQ(asked->outcome(), RunOutcome::Unknown);
}

// The store is away. An order can't be claimed, so it is refused at once, with the time to come back. Whether an
// earlier try of the same key ran under another owner can't be proved without the store either, so the answer does not
// say "not run".
TEST_F(HomeTest, admit_nonIdempotentWhileStoreAway_isRefusedAtOnce)
{
    ask(*first, keyed("other"));
    fleet.store.setUnavailable(true);

    const Asked asked = ask(*first, order("r"));

    ASSERT_TRUE(asked->isAnswered());
    EXPECT_EQ(asked->failure(), FailureCode::StoreUnavailable);
    EXPECT_EQ(asked->outcome(), RunOutcome::Unknown);
    EXPECT_EQ(first->reservations.free(), SmallFleet::kTokens - kWorstCase);
}

TEST_F(HomeTest, admit_idempotentWhileStoreAway_goesOnAtTheOwner)
{
    ask(*first, keyed("other"));
    fleet.store.setUnavailable(true);

    EXPECT_EQ(ask(*first, keyed("r"))->grant().reservedTokens, kWorstCase);
}

// The write that claims an order has its effect, but its answer is lost. The home reads it back and the order runs,
// once.
TEST_F(HomeTest, admit_answerOfClaimLost_runsOnce)
{
    ask(*first, keyed("other"));
    fleet.store.loseAnswersOfNextWrites(1);

    const Asked asked = ask(*first, order("r"));

    EXPECT_EQ(asked->grant().reservedTokens, kWorstCase);
    EXPECT_EQ(first->reservations.reservedTwice(), 0);
}

TEST_F(HomeTest, admit_atAnotherEntryWhileOwnerLives_isSentToTheOwner)
{
    ask(*first, keyed("r"));

    const Asked asked = ask(*second, keyed("r"));

    EXPECT_EQ(asked->failure(), FailureCode::HomeElsewhere);
    EXPECT_EQ(second->home->ownerOf(second->home->shardOf(keyed("r").budget))->address, "first:1");
}

// Two regions are apart. A retry reaches the side on which the key's owner is not. A run may be in progress on the
// other side, so the caller is told at once that the outcome is unknown, and when to come back.
TEST_F(HomeTest, admit_ownerBeyondPartition_isUnknownAtOnceWithTimeToComeBack)
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

TEST_F(HomeTest, stop_withOpenRequest_handsOverAtOnceAndWaitsForTheEnd)
{
    const AdmitQuestion question = keyed("r");
    const Grant grant = startRun(*first, question, "agent-1");
    bool isStopped = false;
    first->home->stop([&] {
        isStopped = true;
    });
    fleet.settle();
    EXPECT_FALSE(isStopped);
    EXPECT_EQ(ask(*first, keyed("new"))->failure(), FailureCode::Draining);

    // The successor finds the run at the agent; the old home still takes the bill.
    EXPECT_EQ(ask(*second, question)->duplicate().attempt, grant.attempt);
    first->home->settle(question.request, {kUsed, false, false, grant.attempt});
    fleet.settle();

    EXPECT_TRUE(isStopped);
    EXPECT_EQ(bills(*first, question), std::vector<std::int64_t>{kUsed});
    EXPECT_TRUE(bills(*second, question).empty());
}
