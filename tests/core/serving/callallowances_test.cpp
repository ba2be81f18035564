#include "base/rendezvous.h"
#include "limits/slidingwindowcounter.h"
#include "serving/callallowances.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>

using namespace RadishSwitch;

/// Gateways that all know each other, and their shares of the calls to one cold endpoint.
class CallAllowancesTest : public testing::Test
{
protected:
    /// Weights of the gateways: every fifth is as strong as five others.
    static std::map<std::string, double> gateways(int count)
    {
        std::map<std::string, double> weights;
        for (int n = 0; n < count; ++n) {
            weights["gateway-" + std::to_string(n)] = n % 5 == 0 ? 0.5 : 0.1;
        }
        return weights;
    }

    static CallAllowances allowances(const std::string &self, const std::map<std::string, double> &weights,
                                     double callsPerSecond)
    {
        ServedPool pool;
        pool.name = PoolId("llm");
        pool.coldCallsPerSecond = callsPerSecond;
        pool.coldStart = std::chrono::seconds(3);
        CallAllowances allowances(self);
        allowances.setPools({pool});
        allowances.setGateways(weights);
        return allowances;
    }

    static std::size_t sumOverAll(int count, double callsPerSecond, const std::string &endpoint)
    {
        std::size_t sum = 0;
        for (const auto &[self, weight] : gateways(count)) {
            sum += allowances(self, gateways(count), callsPerSecond)
                       .ownColdCallsPerSecond(PoolId("llm"), rendezvousHash(endpoint));
        }
        return sum;
    }
};

// Guards against a cold endpoint that crashes because many gateways find it idle at the same moment and together exceed
// its limit.
TEST_F(CallAllowancesTest, anyFleet_sumOverAllGateways_equalsLimitOfEndpoint)
{
    for (const int count : {1, 2, 5, 18, 29, 103, 410}) {
        for (const double limit : {1.0, 3.0, 18.0, 40.0}) {
            const std::size_t sum = sumOverAll(count, limit, "endpoint-7");
            EXPECT_EQ(sum, limit) << count << " gateways";
        }
    }
}

// Guards against an overflow by a huge announced limit.
TEST_F(CallAllowancesTest, hugeRates_announced_areBounded)
{
    const CallAllowances it = allowances("gateway-0", gateways(3), 1);
    for (const double rate : {1e12, 1e300, std::numeric_limits<double>::max()}) {
        const std::size_t calls = it.ownCalls(rate, std::chrono::seconds(4), 7);
        EXPECT_GT(calls, 1'000'000U) << rate;
        EXPECT_LE(calls, 1'000'000'000U) << rate;
    }
}

// Guards against an endpoint that never gets calls, and so stays cold, because its limit is less than one call per
// second.
TEST_F(CallAllowancesTest, endpoint_limitBelowOneCall_stillGetsCalls)
{
    EXPECT_EQ(sumOverAll(29, 0.2, "endpoint-7"), 1U);
}

// Guards against refusals after a power loss, when strong instances are back first and serve all callers.
TEST_F(CallAllowancesTest, strongGateway_amongWeakOnes_hasShareOfItsWeight)
{
    const std::map<std::string, double> weights{{"strong", 0.5}, {"weak-1", 0.1}, {"weak-2", 0.1}, {"weak-3", 0.1}};
    EXPECT_GE(allowances("strong", weights, 18).ownColdCallsPerSecond(PoolId("llm"), 7), 11U);
    EXPECT_GE(allowances("weak-1", weights, 18).ownColdCallsPerSecond(PoolId("llm"), 7), 2U);
}

TEST_F(CallAllowancesTest, gateway_notListedYet_countsWithAverageWeight)
{
    EXPECT_LE(allowances("new", {{"a", 0.1}, {"b", 0.1}}, 18).ownColdCallsPerSecond(PoolId("llm"), 7), 6U);
}

TEST_F(CallAllowancesTest, pool_withoutLimit_isUnbounded)
{
    EXPECT_EQ(allowances("gateway-0", gateways(3), 0).ownColdCallsPerSecond(PoolId("llm"), 1),
              CallAllowances::kUnbounded);
    EXPECT_EQ(allowances("gateway-0", gateways(3), 5).ownColdCallsPerSecond(PoolId("other"), 1),
              CallAllowances::kUnbounded);
}

class SlidingWindowCounterTest : public testing::Test
{
protected:
    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::milliseconds(milliseconds));
    }

    SlidingWindowCounter count{std::chrono::seconds(1)};
};

// Guards against twice the bound within one second, when half of the calls fall at the end of one window and half at
// the start of the next.
TEST_F(SlidingWindowCounterTest, anySpan_callsAtItsEdges_holdsNoMoreThanBound)
{
    for (int n = 0; n < 3; ++n) {
        EXPECT_TRUE(count.isBelow(3, at(900 + n)));
        count.note(at(900 + n));
    }
    EXPECT_FALSE(count.isBelow(3, at(1899)));
    EXPECT_TRUE(count.isBelow(3, at(1900)));
    count.note(at(1900));
    EXPECT_FALSE(count.isBelow(3, at(1900)));
}

TEST_F(SlidingWindowCounterTest, count_boundOfZero_isNeverBelow)
{
    EXPECT_FALSE(count.isBelow(0, at(0)));
}
