#include "budgetfixture.h"

using namespace RadishSwitch;

/// How much of a budget a process holds while the budget runs down.
class HeldShareTest : public BudgetFixture
{
protected:
    HeldShareTest()
    {
        holderSettings.survivalTime = Seconds(9);
        holderSettings.use = {Seconds(4), Milliseconds(1500)};
        holderSettings.lowWaterShare = 0.85;
        holderSettings.heldPerLeft = 1.5;
        holderSettings.leastHeldShare = 0.15;
        holderSettings.mostHeldShare = 0.6;
        ledgerSettings.soonDelay = Milliseconds(200);
        ledgerSettings.relaxedDelay = Milliseconds(800);
    }

    /// Uses 10,000 tokens a second; how much of it was granted.
    int use(Process &process, int seconds)
    {
        int granted = 0;
        for (int n = 0; n < seconds * 10; ++n) {
            granted += spend(process, "r" + std::to_string(++m_last), 1'000, 1'000) ? 1 : 0;
            // `spend` itself takes 200 ms.
            granted += spend(process, "r" + std::to_string(++m_last), 1'000, 1'000) ? 1 : 0;
            n += 3;
        }
        return granted;
    }

    std::int64_t held(Process &process) const
    {
        const auto status = process.holder->budgetStatus(kBudget);
        return status ? status->available : 0;
    }

private:
    int m_last = 0;
};

TEST_F(HeldShareTest, muchLeft_portionLastsTheSurvivalTime)
{
    topUp("p", 1'000'000);
    const auto process = start("h");
    use(*process, 10);
    // 5,000 tokens a second for 9 s, and a little above the low water.
    EXPECT_GE(held(*process), 40'000);
}

// The process that holds the portion is killed near the end of the budget, with all others. What it held is lost; most
// of what was left can still be reserved by those that start then.
TEST_F(HeldShareTest, littleLeft_mostOfItOutlivesTheHolder)
{
    topUp("p", 200'000);
    const auto process = start("h");
    use(*process, 32);
    const std::int64_t left = record().paid() - spent;
    ASSERT_LT(left, 60'000);
    EXPECT_LE(held(*process), left / 2);
    const auto next = start("n");
    const auto answer = reserve(*next, "after", left / 2);
    run(Seconds(1));
    EXPECT_TRUE(answer->isGranted());
}
