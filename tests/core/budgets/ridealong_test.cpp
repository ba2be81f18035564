#include "budgetfixture.h"

namespace RadishSwitch
{

/// A holder of ten budgets in two shards, which are used at different times.
class RideAlongTest : public BudgetFixture
{
protected:
    static constexpr int kBudgets = 10;

    RideAlongTest()
    {
        ledgerSettings.cachesShards = true;
        ledgerSettings.soonDelay = Milliseconds(200);
        ledgerSettings.relaxedDelay = Milliseconds(800);
        holderSettings.survivalTime = Milliseconds(7500);
        holderSettings.lowWaterShare = 0.7;
        holderSettings.use.averagingTime = Seconds(4);
        holderSettings.relaxedTakeInterval = Seconds(2);
        holderSettings.checkpointInterval = Seconds(8);
        holderSettings.relaxedCheckpointInterval = Seconds(16);
    }

    static BudgetId budget(int n)
    {
        return {OrganisationId("organisation-" + std::to_string(n)), "prepaid"};
    }

    struct Outcome {
        int writes = 0;
        int granted = 0;
    };

    /// Half a minute with six to seven calls per second for each budget.
    Outcome simulateHalfAMinute(double rideAlongShare)
    {
        holderSettings.rideAlongShare = rideAlongShare;
        for (int n = 0; n < kBudgets; ++n) {
            topUp("p" + std::to_string(n), 10'000'000, budget(n));
        }
        const auto process = start("h1");
        Outcome outcome;
        for (int tick = 0; tick < kTicks; ++tick) {
            for (int n = 0; n < kBudgets; ++n) {
                if ((tick + n) % 3 == 0) {
                    outcome.granted += use(*process, n) ? 1 : 0;
                }
            }
            run(Milliseconds(50));
        }
        outcome.writes = process->link.writes();
        return outcome;
    }

private:
    static constexpr int kTicks = 600;

    bool use(Process &process, int n)
    {
        const std::string request = std::to_string(++m_calls);
        const auto answer = reserve(process, request, 1'000, Seconds(1), budget(n));
        run(Milliseconds(20));
        return answer->isGranted() && process.holder->settle(RequestId(request), 800).ok();
    }

    int m_calls = 0;
};

TEST_F(RideAlongTest, budgetsOfOneShard_usedAtOnce_areRefilledByOneWrite)
{
    // Ten organisations make calls all the time. Each of their portions runs low at its own time, and each time the
    // whole shard is written for that budget. When all budgets of a shard are refilled by the same write, the store
    // gets less than half of the writes, and no more callers are refused.
    const Outcome alone = simulateHalfAMinute(0);
    const Outcome together = simulateHalfAMinute(0.97);

    EXPECT_LT(2 * together.writes, alone.writes);
    EXPECT_GE(together.granted, alone.granted * 95 / 100);
    for (int n = 0; n < kBudgets; ++n) {
        EXPECT_TRUE(record(budget(n)).check().ok());
    }
}

}
