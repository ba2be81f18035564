#include "budgetfixture.h"

using namespace RadishSwitch;

/// Advances at the home that gives them.
class AdvanceTest : public BudgetFixture
{
protected:
    AdvanceTest()
    {
        holderSettings.survivalTime = Seconds(10);
        holderSettings.use = {Seconds(4), Seconds(1)};
        ledgerSettings.soonDelay = Milliseconds(200);
        holderSettings.heldPerLeft = 1;
        holderSettings.leastHeldShare = 0.1;
        holderSettings.mostHeldShare = 0.5;
        topUp("p", 1'000'000);
        home = start("home");
        EXPECT_TRUE(spend(*home, "first", 100, 100));
    }

    std::shared_ptr<Answer> advance(const std::string &name, std::int64_t tokens)
    {
        const auto answer = std::make_shared<Answer>();
        ReservationRequest request{RequestId(name), kBudget, tokens, timers.now() + Seconds(1)};
        request.isAdvance = true;
        home->holder->reserve(request, [answer](absl::StatusOr<Reservation> result) {
            answer->result = std::move(result);
        });
        return answer;
    }

    std::int64_t tokensOf(const std::shared_ptr<Answer> &answer) const
    {
        return answer->isGranted() ? (*answer->result)->tokens : 0;
    }

    std::unique_ptr<Process> home;
};

TEST_F(AdvanceTest, advance_enoughLeft_isGrantedWhole)
{
    const auto first = advance("a1", 50'000);
    run(Seconds(1));
    EXPECT_EQ(tokensOf(first), 50'000);
    EXPECT_TRUE(home->holder->settle(RequestId("a1"), 20'000).ok());
    run(Seconds(30));
    expectLedgerHolds();
}

// All gateways may be killed at once with all that they hold. So however much they ask for, most of what is left stays
// in the ledger.
TEST_F(AdvanceTest, advances_manyAskedFor_stayWithinTheirShareOfWhatIsLeft)
{
    std::int64_t sum = 0;
    for (int n = 0; n < 20; ++n) {
        const auto answer = advance("a" + std::to_string(n), 200'000);
        run(Seconds(1));
        sum += tokensOf(answer);
    }
    EXPECT_GT(sum, 400'000);
    EXPECT_LE(sum, 500'000);
}

// Others use up what they had ahead, and say so. The home knows then how little is left, and gives less.
TEST_F(AdvanceTest, advances_usedUpAgainAndAgain_shrinkTowardsTheEndOfTheBudget)
{
    std::int64_t used = 0;
    std::int64_t last = 0;
    for (int n = 0; n < 40; ++n) {
        const RequestId name("a" + std::to_string(n));
        const auto answer = advance(name.value(), 200'000);
        run(Seconds(1));
        last = tokensOf(answer);
        used += last;
        EXPECT_TRUE(home->holder->settle(name, last).ok());
    }
    EXPECT_LE(used, 1'000'000);
    EXPECT_LT(last, 20'000);
}

TEST_F(AdvanceTest, chargedPart_isSpentAndTheRestStaysReserved)
{
    const auto answer = advance("a1", 50'000);
    run(Seconds(1));
    ASSERT_TRUE(answer->isGranted());
    EXPECT_TRUE(home->holder->chargePart(RequestId("a1"), 30'000).ok());
    EXPECT_FALSE(home->holder->chargePart(RequestId("a1"), 20'001).ok());
    const auto status = home->holder->budgetStatus(kBudget);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->portions.front().spent, 30'100);
    EXPECT_EQ(status->portions.front().reserved, 20'000);
    home->holder->settleWhole(RequestId("a1"));
    home->holder->settleWhole(RequestId("a1"));
    EXPECT_EQ(home->holder->budgetStatus(kBudget)->portions.front().spent, 50'100);
}

// A caller waits for the ledger at the home, behind a gateway that waits for an advance. The caller goes first, and is
// not refused for tokens that others merely want to have ahead.
TEST_F(AdvanceTest, callerThatWaits_goesBeforeAdvances)
{
    home->link.setDelay(Milliseconds(50));
    const auto ahead = advance("a1", 400'000);
    const auto call = reserve(*home, "c", 300'000);
    run(Milliseconds(200));
    EXPECT_TRUE(call->isGranted());
    EXPECT_TRUE(ahead->result.has_value() || home->holder->budgetStatus(kBudget)->waiting == 1);
}

// Most of the budget lies ahead at others, and the ledger has too little for a caller. Advances may stay away for long,
// so the caller hears at once and does not wait for them until its deadline.
TEST_F(AdvanceTest, callerLackingWhatOthersHaveAhead_isRefusedAtOnce)
{
    const auto ahead = advance("a1", 450'000);
    run(Seconds(1));
    ASSERT_TRUE(ahead->isGranted());
    const auto call = reserve(*home, "c", 900'000);
    run(Seconds(1));
    EXPECT_TRUE(call->isRefusedWith(FailureCode::BudgetExhausted));
}
