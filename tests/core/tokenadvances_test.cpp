#include "serving/tokenadvances.h"

#include <gtest/gtest.h>

#include <numeric>

using namespace RadishSwitch;

class TokenAdvancesTest : public testing::Test
{
protected:
    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::milliseconds(milliseconds));
    }

    bool grant(const std::string &call, std::int64_t tokens, Instant now)
    {
        return advances.grant({RequestId(call), budget, tokens, Instant::max()}, now);
    }

    /// Uses 1,000 tokens a second until `end`, out of whatever there is.
    void useUntil(int end)
    {
        for (int n = 0; n < end; n += 100) {
            const std::string call = "use" + std::to_string(n);
            if (grant(call, 100, at(n))) {
                EXPECT_TRUE(advances.settle(RequestId(call), 100, at(n)));
            } else {
                advances.noteUse(budget, 100, at(n));
            }
        }
    }

    static std::int64_t sumOf(const std::vector<AdvanceCharge> &charges)
    {
        return std::accumulate(charges.begin(), charges.end(), std::int64_t(0), [](std::int64_t sum, const auto &it) {
            return sum + it.usedTokens;
        });
    }

    const BudgetId budget{OrganisationId("magnolia"), "prepaid"};
    TokenAdvances advances;
};

TEST_F(TokenAdvancesTest, callWithoutAdvance_isNotGranted)
{
    EXPECT_FALSE(grant("c", 100, at(0)));
    EXPECT_FALSE(advances.settle(RequestId("c"), 100, at(0)));
}

TEST_F(TokenAdvancesTest, missing_budgetInUse_isTheUseOfTheSurvivalTime)
{
    useUntil(10'000);
    const auto missing = advances.missing(budget, at(10'000));
    ASSERT_TRUE(missing);
    EXPECT_NEAR(static_cast<double>(*missing), 9'000, 900);
    advances.add(budget, RequestId("a1"), "home", *missing, at(10'000));
    EXPECT_FALSE(advances.missing(budget, at(10'000)));
}

TEST_F(TokenAdvancesTest, homeThatWasAskedOrRefused_isNotAskedAgainAtOnce)
{
    useUntil(5'000);
    advances.noteAsked(budget, at(5'000));
    EXPECT_FALSE(advances.missing(budget, at(5'400)));
    EXPECT_TRUE(advances.missing(budget, at(5'600)));
    advances.noteRefused(budget, at(5'600));
    EXPECT_FALSE(advances.missing(budget, at(6'500)));
}

// Advances come in pieces. A call larger than each of them is granted out of all together.
TEST_F(TokenAdvancesTest, callLargerThanEachAdvance_isGrantedOutOfAll)
{
    advances.add(budget, RequestId("a1"), "home", 300, at(0));
    advances.add(budget, RequestId("a2"), "home", 300, at(0));
    EXPECT_TRUE(grant("c", 500, at(0)));
    EXPECT_FALSE(grant("d", 200, at(0)));
    EXPECT_TRUE(advances.settle(RequestId("c"), 400, at(1)));
    EXPECT_TRUE(grant("d", 200, at(1)));
}

TEST_F(TokenAdvancesTest, charges_areSetAgainstTheOldestAndNeverExceedAnAdvance)
{
    advances.add(budget, RequestId("a1"), "home", 300, at(0));
    advances.add(budget, RequestId("a2"), "other", 900, at(0));
    ASSERT_TRUE(grant("c", 700, at(0)));
    ASSERT_TRUE(advances.settle(RequestId("c"), 700, at(0)));
    const std::vector<AdvanceCharge> charges = advances.takeCharges(at(100));
    ASSERT_FALSE(charges.empty());
    EXPECT_EQ(charges.front(), (AdvanceCharge{RequestId("a1"), "home", 300, true}));
    EXPECT_LE(sumOf(charges), 700);
    EXPECT_EQ(sumOf(charges) + sumOf(advances.takeAll()), 700);
}

// The use of a budget ends. What lies here goes back, so that other gateways can have it.
TEST_F(TokenAdvancesTest, budgetNobodyUses_givesItsAdvancesBack)
{
    useUntil(5'000);
    advances.add(budget, RequestId("a1"), "home", 8'000, at(5'000));
    EXPECT_TRUE(advances.takeCharges(at(5'100)).empty());
    const std::vector<AdvanceCharge> charges = advances.takeCharges(at(10'000));
    ASSERT_EQ(charges.size(), 1U);
    EXPECT_EQ(charges.front(), (AdvanceCharge{RequestId("a1"), "home", 0, true}));
    EXPECT_EQ(advances.available(budget), 0);
}

// The gateway stops with a call under way. What the call may still use counts as used, the rest goes back.
TEST_F(TokenAdvancesTest, stop_withACallUnderWay_givesBackAllButItsReservation)
{
    advances.add(budget, RequestId("a1"), "home", 1'000, at(0));
    ASSERT_TRUE(grant("c", 400, at(0)));
    const std::vector<AdvanceCharge> charges = advances.takeAll();
    ASSERT_EQ(charges.size(), 1U);
    EXPECT_EQ(charges.front(), (AdvanceCharge{RequestId("a1"), "home", 400, true}));
    EXPECT_FALSE(advances.settle(RequestId("c"), 100, at(1)));
}

TEST_F(TokenAdvancesTest, leavingGateway_givesBackWhatItsLastCallsDoNotNeed)
{
    useUntil(5'000);
    for (int n = 0; n < 9; ++n) {
        advances.add(budget, RequestId("a" + std::to_string(n)), "home", 1'000, at(5'000));
    }
    advances.setSurvivalTime(std::chrono::seconds(2));
    EXPECT_GE(advances.takeCharges(at(5'000)).size(), 6U);
    EXPECT_GE(advances.available(budget), 1'500);
}
