#include "budgetfixture.h"

namespace RadishSwitch
{

/// A holder and an operator when answers are lost, the store is unavailable, regions are partitioned, or a process is
/// paused.
class BudgetFailuresTest : public BudgetFixture
{
};

// The holder's request for a portion reaches the store, but the answer is lost. The holder reads the object again,
// finds the portion under its own id and sequence, and uses it. A second portion would strand the first one until a
// closer settles it.
TEST_F(BudgetFailuresTest, reserve_answerOfTakeLost_takesOnePortionOnce)
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

// Answers to reports and returns are lost as well. Spending is reported as a total and a return ends the portion, so a
// change that is submitted twice counts once: after the stop exactly the used tokens are settled.
TEST_F(BudgetFailuresTest, stop_answersOfSettlementsLost_settlesExactlyWhatWasUsed)
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

// A planned stop while a reservation is open: new requests are refused, the open one ends in its own time, and then the
// portion is returned. If it were returned earlier, another holder could spend the tokens that the open request is
// about to use.
TEST_F(BudgetFailuresTest, stop_reservationOpen_waitsForItAndReturnsEverything)
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

// The store is unavailable for an hour. Requests are served from the portion until it is used up; the next one is
// refused at once with a time to retry. The store comes back slowly, and requests are served again without a second
// portion.
TEST_F(BudgetFailuresTest, reserve_storeUnavailableForAnHour_usesPortionThenRefusesThenRecovers)
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
    EXPECT_GE(served, 45) << "the portion should last for about the survival time";
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

// A process starts while the store is unavailable. It has no portion, so callers are refused at once with a time to
// retry, and are served soon after the store is back.
TEST_F(BudgetFailuresTest, reserve_storeUnavailableSinceStart_refusesAtOnceAndRecovers)
{
    topUp("p", 1000);
    const auto process = start("h1");
    process->link.setCut(true);
    const auto first = reserve(*process, "r", 100, Seconds(60));
    run(Milliseconds(500));
    EXPECT_TRUE(first->isRefusedWith(FailureCode::BudgetUnavailable));
    run(Seconds(60));
    const auto later = reserve(*process, "s", 100, Seconds(60));
    tasks.runAll();
    EXPECT_TRUE(later->isRefusedWith(FailureCode::BudgetUnavailable));
    process->link.setCut(false);
    run(Seconds(11));

    EXPECT_TRUE(spend(*process, "t", 100, 50));
}

// Two regions lose the connection to the store and to each other one after the other, while the budget is topped up
// twice. Each region continues with its own portion. In any order of events, together they spend no more than was paid.
TEST_F(BudgetFailuresTest, reserve_regionsPartitionedWhileToppedUpTwice_spendNoMoreThanPaid)
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
    EXPECT_GE(spent, 40'000 - 2 * 200) << "the tokens left at the end should be too few for a request";
}

// A holder is paused for minutes, and a closer considers it dead and closes its portion. When the holder continues, its
// next change is refused; it drops the portion and takes a new one. The closer counts the reservations on the old
// portion, so settling one of them here must not charge the new portion.
TEST_F(BudgetFailuresTest, report_portionClosedMeanwhile_dropsItAndTakesANewOne)
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

// The answer to a top-up is lost, the operator's tool retries it, and the operator, who is unsure of the outcome,
// submits the payment once more.
TEST_F(BudgetFailuresTest, editor_paymentSubmittedAgainAfterLostAnswer_countsOnceWithOneAuditEntry)
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

// While the budget has plenty of free tokens and the ledger does not answer, callers must not be told that the budget
// is exhausted.
TEST_F(BudgetFailuresTest, reserve_ledgerDoesNotAnswerWhileMuchIsFree_isLateAndNotExhausted)
{
    holderSettings.shareOfFree = 0.01;
    topUp("p", 1'000'000);
    const auto process = start("h1");
    ASSERT_TRUE(spend(*process, "first", 100, 100));
    process->link.setDelay(Seconds(5));

    const auto waits = reserve(*process, "large", 200'000, Milliseconds(600));
    run(Seconds(1));

    EXPECT_TRUE(waits->isRefusedWith(FailureCode::LedgerLate));
}

}
