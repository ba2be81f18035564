#include "base/rendezvous.h"
#include "limits/slidingcount.h"
#include "serving/coldstarts.h"

#include <gtest/gtest.h>

#include <numeric>

using namespace RadishSwitch;

/// Gateways that all know of one another, and what each of them may send to one cold endpoint.
class ColdStartsTest : public testing::Test
{
protected:
    static std::vector<std::string> names(int count)
    {
        std::vector<std::string> names;
        for (int n = 0; n < count; ++n) {
            names.push_back("gateway-" + std::to_string(n));
        }
        return names;
    }

    static ColdStarts coldStarts(const std::string &self, const std::vector<std::string> &gateways,
                                 double callsPerSecond)
    {
        ServedPool pool;
        pool.name = PoolId("llm");
        pool.coldCallsPerSecond = callsPerSecond;
        pool.coldStart = std::chrono::seconds(3);
        ColdStarts coldStarts(self);
        coldStarts.setPools({pool});
        coldStarts.setGateways(gateways);
        return coldStarts;
    }

    static std::size_t sumOverAll(int gateways, double callsPerSecond, const std::string &endpoint)
    {
        std::size_t sum = 0;
        for (const std::string &self : names(gateways)) {
            sum += coldStarts(self, names(gateways), callsPerSecond).ownCalls(PoolId("llm"), rendezvousHash(endpoint));
        }
        return sum;
    }
};

// Guards against an endpoint that crashes again while it warms up: many gateways find it empty at the same moment.
TEST_F(ColdStartsTest, anyFleet_allTogether_sendNoMoreThanAnEndpointBears)
{
    for (const int gateways : {1, 2, 5, 18, 29, 103, 410}) {
        for (const double bearing : {1.0, 3.0, 18.0, 40.0}) {
            const std::size_t sum = sumOverAll(gateways, bearing, "endpoint-7");
            EXPECT_LE(sum, bearing) << gateways << " gateways";
            EXPECT_GE(sum, std::min(bearing, 1.0)) << gateways << " gateways";
        }
    }
}

// Guards against an endpoint that stays cold and idle, because it bears less than one call a second.
TEST_F(ColdStartsTest, endpointThatBearsAlmostNothing_stillGetsCalls)
{
    EXPECT_EQ(sumOverAll(29, 0.2, "endpoint-7"), 1U);
}

TEST_F(ColdStartsTest, fewGateways_shareWhatItBears)
{
    EXPECT_EQ(sumOverAll(4, 18, "endpoint-7"), 16U);
    EXPECT_EQ(sumOverAll(29, 18, "endpoint-7"), 18U);
}

TEST_F(ColdStartsTest, poolWithoutABound_isNotBounded)
{
    EXPECT_EQ(coldStarts("gateway-0", names(3), 0).ownCalls(PoolId("llm"), 1), ColdStarts::kUnbounded);
    EXPECT_EQ(coldStarts("gateway-0", names(3), 5).ownCalls(PoolId("other"), 1), ColdStarts::kUnbounded);
}

class SlidingCountTest : public testing::Test
{
protected:
    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::milliseconds(milliseconds));
    }

    SlidingCount count{std::chrono::seconds(1)};
};

// Guards against twice the bound within one second, half of it at the end of one span and half at the start of the
// next.
TEST_F(SlidingCountTest, anySpan_holdsNoMoreThanTheBound)
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

TEST_F(SlidingCountTest, boundOfZero_isNeverFree)
{
    EXPECT_FALSE(count.isBelow(0, at(0)));
}
