#include "budgetfixture.h"

namespace RadishSwitch
{

namespace
{

class RecordingListener : public BudgetHolderListener
{
public:
    void handleExhausted(const BudgetId &, const BudgetSnapshot &snapshot) override
    {
        dry.push_back(snapshot);
    }

    void handleTaken(const BudgetId &, const HeldPortion &, std::int64_t tokens, const BudgetSnapshot &) override
    {
        taken += tokens;
    }

    void handleReturned(const BudgetId &, const HeldPortion &, std::int64_t tokens) override
    {
        givenBack += tokens;
    }

    std::vector<BudgetSnapshot> dry;
    std::int64_t taken = 0;
    std::int64_t givenBack = 0;
};

}

class BudgetHolderTest : public BudgetFixture
{
};

TEST_F(BudgetHolderTest, reserve_budgetToppedUp_grantsFromAPortionWithoutAskingTheStoreAgain)
{
    topUp("p", 100'000);
    const auto process = start("h1");
    ASSERT_TRUE(spend(*process, "r0", 100, 60));
    const int calls = process->link.calls();
    const auto answer = reserve(*process, "r1", 100);
    tasks.runAll();

    ASSERT_TRUE(answer->isGranted());
    EXPECT_EQ((*answer->result)->tokens, 100);
    EXPECT_EQ(process->link.calls(), calls);
    EXPECT_EQ(process->holder->openReservations(kBudget).size(), 1u);
}

TEST_F(BudgetHolderTest, reserve_sameRequestTwice_givesTheSameReservation)
{
    topUp("p", 1000);
    const auto process = start("h1");
    const auto first = reserve(*process, "r", 100);
    run(Seconds(1));
    const auto second = reserve(*process, "r", 100);
    run(Seconds(1));

    ASSERT_TRUE(first->isGranted() && second->isGranted());
    EXPECT_EQ(**first->result, **second->result);
    EXPECT_EQ(process->holder->openReservationCount(), 1u);
}

TEST_F(BudgetHolderTest, reserve_badInput_isTypedError)
{
    topUp("p", 1000);
    const auto process = start("h1");
    const auto zero = reserve(*process, "r", 0);
    const auto unknown = reserve(*process, "r", 5, Seconds(10), {OrganisationId("nobody"), "x"});
    run(Seconds(1));

    EXPECT_TRUE(zero->isRefusedWith(FailureCode::InvalidRequest));
    EXPECT_TRUE(unknown->isRefusedWith(FailureCode::BudgetUnknown));
}

TEST_F(BudgetHolderTest, settle_twiceOrBeyondTheReservation_chargesOnceAndNeverMore)
{
    topUp("p", 1000);
    const auto process = start("h1");
    reserve(*process, "r", 100);
    reserve(*process, "s", 100);
    run(Seconds(1));

    EXPECT_TRUE(process->holder->settle(RequestId("r"), 40).ok());
    EXPECT_TRUE(process->holder->settle(RequestId("r"), 40).ok());
    EXPECT_EQ(failureCode(process->holder->settle(RequestId("s"), 101)), FailureCode::InvalidRequest);
    EXPECT_EQ(process->holder->budgetStatus(kBudget)->portions.at(0).spent, 140);
}

TEST_F(BudgetHolderTest, release_requestDidNotRun_freesItsTokens)
{
    topUp("p", 100);
    const auto process = start("h1");
    reserve(*process, "r", 100);
    run(Seconds(1));
    process->holder->release(RequestId("r"));
    process->holder->release(RequestId("r"));

    EXPECT_EQ(process->holder->budgetStatus(kBudget)->available, 100);
}

// Near the end of a budget, a request needs more than is available while another reservation is open that will use far
// less than it reserved. The request waits for that reservation to end and is then served, well before its own
// deadline.
TEST_F(BudgetHolderTest, reserve_openReservationCanFreeEnough_waitsAndIsServed)
{
    topUp("p", 100);
    const auto process = start("h1");
    reserve(*process, "r", 80);
    run(Seconds(1));
    const auto waiting = reserve(*process, "s", 60);
    run(Seconds(2));
    EXPECT_FALSE(waiting->result);
    EXPECT_TRUE(process->holder->settle(RequestId("r"), 30).ok());
    run(Milliseconds(100));

    EXPECT_TRUE(waiting->isGranted());
}

// As above, but the open request uses nearly all of its reservation. From then on nothing can free enough for the
// waiting request, so it is refused at that moment and not at its deadline.
TEST_F(BudgetHolderTest, reserve_openReservationFreesTooLittle_isRefusedAtThatMoment)
{
    topUp("p", 100);
    const auto process = start("h1");
    reserve(*process, "r", 80);
    run(Seconds(1));
    const auto waiting = reserve(*process, "s", 60, Seconds(60));
    run(Seconds(2));
    EXPECT_FALSE(waiting->result);
    const Instant settledAt = timers.now();
    EXPECT_TRUE(process->holder->settle(RequestId("r"), 79).ok());
    run(Milliseconds(100));

    EXPECT_TRUE(waiting->isRefusedWith(FailureCode::BudgetExhausted));
    EXPECT_LE(waiting->at - settledAt, Milliseconds(50));
    EXPECT_EQ(retryAfterOf(waiting->result->status()), holderSettings.exhaustedRetryAfter);
}

TEST_F(BudgetHolderTest, reserve_nothingFreeAnywhere_isRefusedAtOnceWithRetryAfter)
{
    topUp("p", 100);
    const auto process = start("h1");
    ASSERT_TRUE(spend(*process, "r", 100, 100));
    const Instant askedAt = timers.now();
    const auto answer = reserve(*process, "s", 1, Seconds(60));
    run(Seconds(1));

    EXPECT_TRUE(answer->isRefusedWith(FailureCode::BudgetExhausted));
    EXPECT_LE(answer->at - askedAt, Milliseconds(50));
    EXPECT_TRUE(retryAfterOf(answer->result->status()));
    const int calls = process->link.calls();
    for (int i = 0; i < 100; ++i) {
        reserve(*process, "t" + std::to_string(i), 1);
    }
    EXPECT_LE(process->link.calls() - calls, 2);
}

TEST_F(BudgetHolderTest, reserve_toppedUpAfterExhaustion_isServedWithinASecond)
{
    topUp("p", 100);
    const auto process = start("h1");
    ASSERT_TRUE(spend(*process, "r", 100, 100));
    ASSERT_FALSE(spend(*process, "s", 50, 50));
    topUp("q", 100);

    EXPECT_TRUE(spend(*process, "t", 50, 50));
    expectLedgerHolds();
}

// A caller is refused as exhausted although not all paid tokens are used, because another process holds the rest for a
// call in progress. The logs must show that, rather than a budget that was used up.
TEST_F(BudgetHolderTest, reserve_restHeldByAnotherProcess_reportsBudgetAmounts)
{
    topUp("p", 100);
    const auto other = start("h1");
    ASSERT_TRUE(spend(*other, "r", 30, 30));
    reserve(*other, "s", 70);
    run(Seconds(1));
    const auto process = start("h2");
    RecordingListener listener;
    process->holder->setListener(&listener);
    const auto refused = reserve(*process, "t", 10, Milliseconds(400));
    run(Seconds(1));

    EXPECT_TRUE(refused->isRefusedWith(FailureCode::BudgetExhausted));
    ASSERT_EQ(listener.dry.size(), 1u);
    EXPECT_EQ(listener.dry.at(0).paid, 100);
    EXPECT_EQ(listener.dry.at(0).free, 0);
    EXPECT_GE(listener.dry.at(0).unspentInPortions, 70);
    EXPECT_EQ(listener.dry.at(0).portions, 1u);
}

TEST_F(BudgetHolderTest, stop_portionsTakenAndReturned_listenerGetsAllOfThem)
{
    topUp("p", 100'000);
    const auto process = start("h1");
    RecordingListener listener;
    process->holder->setListener(&listener);
    ASSERT_TRUE(spend(*process, "r", 100, 60));
    ASSERT_TRUE(spend(*process, "s", 20'000, 20'000));

    process->holder->stop([] {});
    run(Seconds(1));

    EXPECT_GE(listener.taken, 20'060);
    EXPECT_EQ(listener.givenBack, listener.taken - 20'060);
    EXPECT_EQ(record().settled(), 20'060);
    expectLedgerHolds();
}

TEST_F(BudgetHolderTest, reserve_deadlinePassesWhileWaiting_isRefusedThen)
{
    topUp("p", 100);
    const auto process = start("h1");
    reserve(*process, "r", 80);
    run(Seconds(1));
    const auto waiting = reserve(*process, "s", 60, Seconds(3));
    run(Seconds(4));

    EXPECT_TRUE(waiting->isRefusedWith(FailureCode::BudgetExhausted));
}

// A request waits for an open one that has reserved most of the budget. The ledger has reported that nothing more is
// free, and is being asked again when the request's deadline passes. The caller must be told that the budget is
// exhausted and when to retry. That the ledger was late would make it look for an outage.
TEST_F(BudgetHolderTest, reserve_deadlinePassesWhileTheLedgerIsAskedAgain_isExhaustedAndNotLate)
{
    topUp("p", 100);
    const auto process = start("h1");
    reserve(*process, "r", 80);
    run(Seconds(1));
    process->link.setDelay(Milliseconds(300));
    std::vector<std::shared_ptr<Answer>> waiting;
    for (int n = 0; n < 40; ++n) {
        waiting.push_back(reserve(*process, "s" + std::to_string(n), 60, Milliseconds(1000 + 50 * n)));
    }
    run(Seconds(4));

    for (const auto &it : waiting) {
        EXPECT_TRUE(it->isRefusedWith(FailureCode::BudgetExhausted));
    }
}

// One region holds far more than it uses, and the other lacks tokens. The other region's request is refused at once,
// but leaves a wanted mark. The first holder sees the mark at its next checkpoint and returns its surplus, so that the
// retry is served.
TEST_F(BudgetHolderTest, reserve_restStrandedInOtherRegion_isServedAfterRebalancing)
{
    topUp("p", 10'000);
    holderSettings.shareOfFree = 1;
    const auto rich = start("s", "south");
    ASSERT_TRUE(spend(*rich, "r", 2500, 100));
    run(Seconds(6));
    ASSERT_EQ(record().free(), 0);
    const auto poor = start("m", "plaines");
    EXPECT_FALSE(spend(*poor, "a", 1000, 500));
    run(Seconds(8));

    EXPECT_TRUE(spend(*poor, "b", 1000, 500));
    expectLedgerHolds();
}

TEST_F(BudgetHolderTest, checkpoint_budgetIdle_returnsPortionAndForgetsIt)
{
    topUp("p", 10'000);
    const auto process = start("h1");
    ASSERT_TRUE(spend(*process, "r", 100, 40));
    run(Seconds(200), Milliseconds(50));

    EXPECT_EQ(record().settled(), 40);
    EXPECT_EQ(record().granted(), 0);
    EXPECT_FALSE(process->holder->budgetStatus(kBudget));
}

TEST_F(BudgetHolderTest, checkpoint_portionOld_isReplacedAndDrained)
{
    holderSettings.portionLifetime = Seconds(30);
    topUp("p", 1'000'000);
    const auto process = start("h1");
    const auto open = reserve(*process, "long", 500);
    for (int i = 0; i < 200; ++i) {
        ASSERT_TRUE(spend(*process, "r" + std::to_string(i), 500, 400));
        run(Milliseconds(300), Milliseconds(20));
    }
    ASSERT_GE(record().portions().size(), 2u);
    EXPECT_TRUE(process->holder->settle(RequestId("long"), 200).ok());
    spent += 200;
    bool isStopped = false;
    process->holder->stop([&] {
        isStopped = true;
    });
    run(Seconds(5));

    EXPECT_TRUE(isStopped);
    EXPECT_EQ(record().settled(), spent);
}

TEST_F(BudgetHolderTest, checkpoint_budgetFarFromExhausted_writesRarely)
{
    ledgerSettings.relaxedDelay = LedgerSettings().relaxedDelay;
    holderSettings.relaxedCheckpointInterval = BudgetHolderSettings().relaxedCheckpointInterval;
    topUp("p", 100'000'000);
    const auto process = start("h1");
    for (int i = 0; i < 600; ++i) {
        ASSERT_TRUE(spend(*process, std::to_string(i), 100, 80));
        run(Milliseconds(800), Milliseconds(20));
    }
    // 600 requests in ten minutes need a refill about every 45 s and a checkpoint in between.
    EXPECT_LE(process->link.writes(), 30);
    expectLedgerHolds();
}

// A budget has come into use ten seconds before the store becomes unavailable for a minute. Its first portion was sized
// for the first few requests. The next one was requested with low urgency, for a write many seconds later. So the
// portion ran out within seconds, and callers were refused although nearly all paid tokens were free.
TEST_F(BudgetHolderTest, reserve_storeUnavailableSoonAfterFirstUse_lastsThroughTheOutage)
{
    ledgerSettings.relaxedDelay = LedgerSettings().relaxedDelay;
    holderSettings.relaxedCheckpointInterval = BudgetHolderSettings().relaxedCheckpointInterval;
    topUp("p", 10'000'000);
    const auto process = start("h1");
    int n = 0;
    const auto useFor = [&](Duration span) {
        for (const Instant end = timers.now() + span; timers.now() < end; ++n) {
            ASSERT_TRUE(spend(*process, std::to_string(n), 373, 83)) << "request " << n;
        }
    };
    useFor(Seconds(10));
    store.setUnavailable(true);
    useFor(Seconds(60));
}

TEST_F(BudgetHolderTest, replacePortions_agentLost_settlesHeldPortionAndTakesANewOne)
{
    topUp("p", 1'000'000);
    const auto process = start("h1");
    const auto open = reserve(*process, "open", 500);
    ASSERT_TRUE(spend(*process, "r", 500, 400));
    const PortionId before = (*open->result)->portion;
    process->holder->replacePortions();
    run(Seconds(10));
    const auto after = reserve(*process, "s", 500);
    tasks.runAll();
    ASSERT_TRUE(after->isGranted());
    EXPECT_NE((*after->result)->portion, before);
    EXPECT_TRUE(process->holder->settle(RequestId("open"), 100).ok());
    run(Seconds(5));

    EXPECT_FALSE(record().portions().contains(before));
    EXPECT_EQ(record().settled(), 500);
}

// The tokens that a request used are unknown. They must not be billed or given to others, and must not prevent the
// process from stopping; they are withheld in the ledger until an operator releases them.
TEST_F(BudgetHolderTest, withhold_usedTokensUnknown_keepsThemOutOfUseUntilReleased)
{
    topUp("p", 1000);
    const auto process = start("h1");
    reserve(*process, "r", 100);
    reserve(*process, "s", 100);
    run(Seconds(1));
    process->holder->withhold(RequestId("r"));
    process->holder->withhold(RequestId("r"));
    process->link.loseAnswersOfNextWrites(1);
    EXPECT_TRUE(process->holder->settle(RequestId("s"), 60).ok());
    bool isStopped = false;
    process->holder->stop([&] {
        isStopped = true;
    });
    run(Seconds(10));

    EXPECT_TRUE(isStopped);
    EXPECT_EQ(record().settled(), 60);
    EXPECT_EQ(record().withheld(), 100);
    EXPECT_EQ(record().free(), 840);
    ASSERT_EQ(record().portions().size(), 1u);
    const PortionId part = record().portions().begin()->first;
    editor.releaseWithheld(kBudget, part, "ann", "engine's log says it never ran", [](const absl::Status &) {});
    run(Seconds(1));
    EXPECT_EQ(record().free(), 940);
}

TEST_F(BudgetHolderTest, withhold_takeIsPending_countsBoth)
{
    topUp("p", 1000);
    const auto process = start("h1");
    reserve(*process, "r", 100);
    run(Seconds(1));
    const auto more = reserve(*process, "s", 400);
    process->holder->withhold(RequestId("r"));
    run(Seconds(3));

    ASSERT_TRUE(more->isGranted());
    EXPECT_EQ(record().withheld(), 100);
    const HeldBudgetStatus::Portion held = process->holder->budgetStatus(kBudget)->portions.at(0);
    EXPECT_EQ(record().portions().at(held.portion).granted, held.granted);
}

TEST_F(BudgetHolderTest, editor_listAndShow_returnLedgerAmounts)
{
    topUp("p", 1000);
    topUp("p", 500, {OrganisationId("tourbillon"), "scripts"});
    const auto process = start("h1");
    reserve(*process, "r", 100);
    run(Seconds(1));
    std::vector<BudgetSummary> all;
    std::vector<BudgetSummary> own;
    std::optional<absl::StatusOr<BudgetRecord>> unknown;
    editor.list(OrganisationId(), [&](const auto &it) {
        all = it.value();
    });
    editor.list(OrganisationId("magnolia"), [&](const auto &it) {
        own = it.value();
    });
    editor.show({OrganisationId("nobody"), "x"}, [&](const auto &it) {
        unknown = it;
    });
    run(Seconds(1));

    EXPECT_EQ(all.size(), 2u);
    ASSERT_EQ(own.size(), 1u);
    EXPECT_EQ(own.front().paid, 1000);
    EXPECT_EQ(own.front().portions, 1u);
    EXPECT_EQ(own.front().free + own.front().granted, 1000);
    EXPECT_EQ(failureCode(unknown->status()), FailureCode::BudgetUnknown);
}

TEST_F(BudgetHolderTest, checkpoint_manyBudgetsOfAShard_shareWrites)
{
    for (int i = 0; i < 50; ++i) {
        topUp("p", 10'000, {OrganisationId("org"), std::to_string(i)});
    }
    const auto process = start("h1");
    const auto name = [](int round, int i) {
        return std::to_string(100 * round + i);
    };
    const auto use = [&](int round) {
        for (int i = 0; i < 50; ++i) {
            reserve(*process, name(round, i), 100, Seconds(10), {OrganisationId("org"), std::to_string(i)});
        }
        run(Milliseconds(100));
        for (int i = 0; i < 50; ++i) {
            EXPECT_TRUE(process->holder->settle(RequestId(name(round, i)), 50).ok());
        }
    };
    use(0);
    EXPECT_LE(process->link.writes(), 3);
    const int writes = process->link.writes();
    for (int round = 1; round <= 10; ++round) {
        use(round);
        run(Seconds(1));
    }
    EXPECT_LE(process->link.writes() - writes, 2 * 12);
}

// The budget is nearly used up. A large request waits for open reservations to free enough; small requests behind it
// fit into the available tokens. They must not wait until they are refused as late.
TEST_F(BudgetHolderTest, reserve_smallBehindLargeAtTheEndOfTheBudget_isGrantedAtOnce)
{
    topUp("p", 10'000);
    const auto process = start("h1");
    ASSERT_TRUE(reserve(*process, "open", 8'000)->result == std::nullopt);
    run(Seconds(2));
    const auto large = reserve(*process, "large", 5'000);
    run(Seconds(2));
    EXPECT_FALSE(large->result);
    const auto small = reserve(*process, "small", 1'000);
    run(Milliseconds(10));
    EXPECT_TRUE(small->isGranted());
    EXPECT_TRUE(process->holder->settle(RequestId("open"), 1'000).ok());
    run(Milliseconds(10));
    EXPECT_TRUE(large->isGranted());
}

// The ledger has enough free tokens but is slow. Requests are served in order, however large; otherwise small ones
// would use up each grant before the large one has enough.
TEST_F(BudgetHolderTest, reserve_smallBehindLargeWhileTheLedgerIsAsked_waitsItsTurn)
{
    topUp("p", 1'000'000);
    const auto process = start("h1");
    ASSERT_TRUE(spend(*process, "first", 100, 100));
    process->link.setDelay(Milliseconds(300));
    const auto large = reserve(*process, "large", 400'000);
    run(Milliseconds(50));
    const auto small = reserve(*process, "small", 10);
    run(Milliseconds(50));
    EXPECT_FALSE(large->result);
    EXPECT_FALSE(small->result);
    run(Seconds(2));
    EXPECT_TRUE(large->isGranted());
    EXPECT_TRUE(small->isGranted());
}

}
