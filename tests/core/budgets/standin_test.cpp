#include "budgetfixture.h"

using namespace RadishSwitch;

/// A process that substitutes for the usual holder of a budget.
class StandInTest : public BudgetFixture
{
protected:
    StandInTest()
    {
        holderSettings.survivalTime = Seconds(10);
        holderSettings.standInSurvivalTime = Seconds(2);
        holderSettings.standInShareOfFree = 0.1;
        holderSettings.shareOfFree = 0.5;
        holderSettings.use.averagingTime = Seconds(4);
        holderSettings.checkpointInterval = Seconds(1);
        holderSettings.relaxedCheckpointInterval = Seconds(1);
        holderSettings.idleTime = Seconds(4);
    }

    /// Uses 1,000 tokens per second for `seconds`.
    void use(Process &process, const std::string &prefix, int seconds, bool isStandIn)
    {
        for (int n = 0; n < seconds * 10; ++n) {
            const RequestId request(prefix + std::to_string(n));
            process.holder->reserve({request, kBudget, 100, timers.now() + Seconds(1), isStandIn}, [](const auto &) {});
            run(Milliseconds(100));
            EXPECT_TRUE(process.holder->settle(request, 100).ok());
        }
    }

    std::int64_t heldBeyondUse(Process &process) const
    {
        const auto status = process.holder->budgetStatus(kBudget);
        return status ? status->available : 0;
    }
};

TEST_F(StandInTest, standIn_inUse_holdsLessThanUsualHolder)
{
    topUp("p", 1'000'000);
    const auto usual = start("usual");
    const auto standIn = start("stand-in");
    use(*usual, "u", 6, false);
    EXPECT_GE(heldBeyondUse(*usual), 9'000);
    use(*standIn, "s", 6, true);
    EXPECT_LE(heldBeyondUse(*standIn), 5'000);
}

// The usual holder is back, and the stand-in gets no more requests. Its portion is free again within seconds.
TEST_F(StandInTest, standIn_noLongerUsed_returnsItsPortion)
{
    topUp("p", 1'000'000);
    const auto standIn = start("stand-in");
    use(*standIn, "s", 3, true);
    run(Seconds(20));
    EXPECT_TRUE(record().portions().empty());
    EXPECT_EQ(record().settled(), 3'000);
}

// Request sizes differ by a factor of a hundred. One large request must not make a process hold room for several
// requests of that size.
TEST_F(StandInTest, largeRequest_amongSmallOnes_doesNotSetPortionSize)
{
    holderSettings.requestsAhead = 6;
    // A long averaging time keeps the use by the one request low, so that only its size could enlarge the portion.
    holderSettings.use.averagingTime = Seconds(60);
    topUp("p", 1'000'000);
    const auto usual = start("usual");
    use(*usual, "u", 3, false);
    const RequestId large("large");
    usual->holder->reserve({large, kBudget, 70'000, timers.now() + Seconds(1)}, [](const auto &) {});
    run(Seconds(1));
    EXPECT_TRUE(usual->holder->settle(large, 70'000).ok());
    use(*usual, "v", 1, false);
    // Room for six requests of the last size would be 420,000 tokens beside the 73,000 that were used.
    EXPECT_LT(record().granted(), 73'000 + 350'000);
}
