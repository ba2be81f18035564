#include "budgetfixture.h"

namespace RadishSwitch
{

class BudgetHolderTest : public BudgetFixture
{
protected:
    /// Settled, reported and still in portions: what the ledger counts as gone or handed out never exceeds paid.
    void expectLedgerHolds()
    {
        EXPECT_GE(record().free(), 0);
        EXPECT_TRUE(record().check().ok());
        EXPECT_LE(spent, record().paid());
    }
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

// Near the end of a budget a request asks for more than is left, while another is open whose worst case is far above
// what it will use. The caller waits for that one to end, and is served then, well before its own deadline.
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

// The same, but the open request uses nearly all it had reserved. From that moment nothing can cover the one that
// waits, so it gets its answer at that moment and not at its deadline.
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

// The caller's portion request reached the store and the answer was lost. The holder reads back, finds the portion
// under its own id and sequence, and goes on with it. Taking a second one would strand the first until a closer came.
TEST_F(BudgetHolderTest, reserve_answerOfTakeLost_takesOnePortionOnce)
{
    topUp("p", 1000);
    const auto process = start("h1");
    process->link.loseAnswersOfNextWrites(4);
    const auto answer = reserve(*process, "r", 100);
    run(Seconds(5));

    ASSERT_TRUE(answer->isGranted());
    EXPECT_EQ(record().portions().size(), 1u);
    EXPECT_EQ(record().granted(), process->holder->budgetStatus(kBudget)->portions.at(0).granted);
}

// Checkpoints and returns lose their answers too. Spending is told as an absolute total and a return ends the portion,
// so whatever is told twice counts once: after the planned stop exactly what was used is settled.
TEST_F(BudgetHolderTest, stop_answersOfSettlementsLost_settlesExactlyWhatWasUsed)
{
    topUp("p", 1000);
    const auto process = start("h1");
    for (int i = 0; i < 5; ++i) {
        process->link.loseAnswersOfNextWrites(2);
        ASSERT_TRUE(spend(*process, "r" + std::to_string(i), 100, 30));
        run(Seconds(7));
    }
    bool isStopped = false;
    process->link.loseAnswersOfNextWrites(2);
    process->holder->stop([&] {
        isStopped = true;
    });
    run(Seconds(5));

    EXPECT_TRUE(isStopped);
    EXPECT_EQ(record().settled(), 150);
    EXPECT_EQ(record().granted(), 0);
}

// A planned stop while a request is open: new ones are refused, the open one ends in its own time, then the portion
// goes back. Returning it earlier would let another holder spend what the open request is about to use.
TEST_F(BudgetHolderTest, stop_reservationOpen_waitsForItAndReturnsEverything)
{
    topUp("p", 1000);
    const auto process = start("h1");
    reserve(*process, "r", 100);
    run(Seconds(1));
    bool isStopped = false;
    process->holder->stop([&] {
        isStopped = true;
    });
    const auto late = reserve(*process, "s", 10);
    run(Seconds(20));
    EXPECT_TRUE(late->isRefusedWith(FailureCode::Draining));
    EXPECT_FALSE(isStopped);
    EXPECT_EQ(record().granted(), 100);

    EXPECT_TRUE(process->holder->settle(RequestId("r"), 70).ok());
    run(Seconds(5));

    EXPECT_TRUE(isStopped);
    EXPECT_EQ(record().settled(), 70);
    EXPECT_EQ(record().free(), 930);
}

// The store goes away for an hour. Requests go on against the portion until it is used up; the next is refused at
// once and told when to come back. The store returns slowly, and requests are served again without a second portion.
TEST_F(BudgetHolderTest, reserve_storeAwayForAnHour_goesOnThenRefusesAtOnceThenRecovers)
{
    topUp("p", 1'000'000);
    const auto process = start("h1");
    for (int i = 0; i < 60; ++i) {
        ASSERT_TRUE(spend(*process, "r" + std::to_string(i), 100, 100));
        run(Milliseconds(800));
    }
    process->link.setCut(true);
    int served = 0;
    while (spend(*process, "o" + std::to_string(served), 100, 100)) {
        ++served;
        run(Milliseconds(800));
    }
    EXPECT_GE(served, 45) << "the portion should last about as long as the survival time says";
    const auto refused = reserve(*process, "x", 100, Seconds(60));
    const Instant askedAt = timers.now();
    tasks.runAll();
    EXPECT_TRUE(refused->isRefusedWith(FailureCode::BudgetUnavailable));
    EXPECT_EQ(refused->at, askedAt);
    EXPECT_TRUE(retryAfterOf(refused->result->status()));

    run(Seconds(3600), Milliseconds(50));
    process->link.setCut(false);
    process->link.setDelay(Milliseconds(800));
    run(Seconds(20));
    const auto afterwards = reserve(*process, "y", 100);
    run(Seconds(5));
    EXPECT_TRUE(afterwards->isGranted());
    EXPECT_EQ(record().portions().size(), 1u);
    expectLedgerHolds();
}

// Two regions lose each other and the store for an hour, one after the other, while the budget is topped up twice.
// Each goes on with what it holds. Whatever order the rest comes in, they can together spend no more than was paid.
TEST_F(BudgetHolderTest, reserve_regionsApartWhileToppedUpTwice_spendNoMoreThanPaid)
{
    topUp("p1", 20'000);
    const auto south = start("s", "south");
    const auto plaines = start("m", "plaines");
    int n = 0;
    const auto offer = [&](Duration span) {
        for (const Instant end = timers.now() + span; timers.now() < end;) {
            const std::string id = std::to_string(++n);
            spend(*south, "s" + id, 200, 150);
            spend(*plaines, "m" + id, 200, 150);
            run(Seconds(2), Milliseconds(20));
        }
    };
    offer(Seconds(30));
    plaines->link.setCut(true);
    offer(Seconds(300));
    topUp("p2", 10'000);
    offer(Seconds(1500));
    south->link.setCut(true);
    topUp("p3", 10'000);
    offer(Seconds(60));
    plaines->link.setCut(false);
    south->link.setCut(false);
    offer(Seconds(1800));

    expectLedgerHolds();
    EXPECT_EQ(record().paid(), 40'000);
    EXPECT_GE(spent, 40'000 - 2 * 200) << "what is left over at the end should not serve a request";
}

// A holder is paused for minutes; a closer takes it for dead, and closes its portion. When it goes on it knows nothing
// of that. Its next word to the ledger is refused; it drops the portion and takes a fresh one. What was open on the
// old one is the closer's to count, so settling it here must not be charged to the new portion.
TEST_F(BudgetHolderTest, report_portionClosedMeanwhile_dropsItAndTakesAFreshOne)
{
    topUp("p", 1000);
    const auto process = start("h1");
    const auto open = reserve(*process, "r", 100);
    run(Seconds(1));
    ASSERT_TRUE(open->isGranted());
    const PortionId old = (*open->result)->portion;
    editRecord([&](BudgetRecord &it) {
        EXPECT_TRUE(it.beginClose(old).ok());
        return it.finishClose(old, 100);
    });
    run(Seconds(10));
    ASSERT_TRUE(spend(*process, "s", 50, 20));
    EXPECT_TRUE(process->holder->settle(RequestId("r"), 100).ok());
    run(Seconds(10));

    EXPECT_EQ(record().settled(), 100);
    ASSERT_EQ(record().portions().size(), 1u);
    EXPECT_NE(record().portions().begin()->first, old);
    EXPECT_EQ(record().portions().begin()->second.spent, 20);
}

// One region holds far more than it uses, the other is short. The short one is refused at once, but leaves its mark;
// the other sees it at its next checkpoint and gives back what it does not need, so that the retry is served.
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

// A payment's answer is lost, the operator's tool tries again by itself, and the operator, unsure, tells it once more.
TEST_F(BudgetHolderTest, editor_paymentToldAgainAfterLostAnswer_countsOnceWithOneAuditEntry)
{
    StoreLink link(store, tasks, timers);
    Ledger ledger(link, timers, random, ledgerSettings);
    LedgerEditor unsure(ledger, timers, tasks);
    topUp("p", 100);
    link.loseAnswersOfNextWrites(2);
    std::optional<absl::StatusOr<BudgetRecord>> first;
    std::optional<absl::StatusOr<BudgetRecord>> other;
    unsure.topUp(kBudget, PaymentId("q"), 50, "ann", [&](const auto &it) {
        first = it;
    });
    run(Seconds(2));
    unsure.topUp(kBudget, PaymentId("q"), 50, "ann", [](const auto &) {});
    unsure.topUp(kBudget, PaymentId("q"), 60, "bob", [&](const auto &it) {
        other = it;
    });
    run(Seconds(2));

    ASSERT_TRUE(first->ok());
    EXPECT_EQ((*first)->paid(), 150);
    EXPECT_EQ(failureCode(other->status()), FailureCode::KeyReusedForOtherBody);
    EXPECT_EQ(record().paid(), 150);
    std::optional<absl::StatusOr<std::vector<LedgerAuditEntry>>> audit;
    unsure.audit(OrganisationId("magnolia"), [&](const auto &it) {
        audit = it;
    });
    run(Seconds(2));
    EXPECT_EQ(audit->value().size(), 3u);
}

}
