#include "serving/gatewayloads.h"

#include "base/failure.h"

#include <gtest/gtest.h>

#include <limits>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class GatewayLoadsTest : public testing::Test
{
protected:
    static GatewayLoadReport report(const std::string &gateway, double fullness = 0.5)
    {
        return {gateway, "north", fullness, 10, false, 0ms};
    }

    void expectRejected(const GatewayLoadReport &it)
    {
        EXPECT_EQ(failureCode(loads.takeIn(it, now)), FailureCode::MalformedMessage);
        EXPECT_TRUE(loads.neighbours(now).empty());
    }

    Instant now{1h};
    GatewayLoads loads{"self", "north"};
};

// Guards against a gateway that counts itself, or one of another zone, among its neighbours.
TEST_F(GatewayLoadsTest, neighbours_ownAndOtherZonesReports_areLeftOut)
{
    EXPECT_TRUE(loads.takeIn(report("b"), now).ok());
    EXPECT_TRUE(loads.takeIn(report("a", 1.5), now).ok());
    EXPECT_TRUE(loads.takeIn(report("self"), now).ok());
    GatewayLoadReport far = report("c");
    far.zone = "south";
    EXPECT_TRUE(loads.takeIn(far, now).ok());
    EXPECT_EQ(loads.neighbours(now), (std::vector{report("a", 1.5), report("b")}));
}

// Guards against decisions by the load of a gateway that is gone.
TEST_F(GatewayLoadsTest, neighbours_oldReport_isDropped)
{
    GatewayLoadReport it = report("a");
    it.age = 1s;
    EXPECT_TRUE(loads.takeIn(it, now).ok());
    now += 2s;
    ASSERT_EQ(loads.neighbours(now).size(), 1U);
    EXPECT_EQ(loads.neighbours(now)[0].age, 3s);
    now += 1ms;
    EXPECT_TRUE(loads.neighbours(now).empty());
}

// Guards against a report that was delayed replacing a newer one.
TEST_F(GatewayLoadsTest, takeIn_olderMeasurement_isIgnored)
{
    EXPECT_TRUE(loads.takeIn(report("a", 0.9), now).ok());
    GatewayLoadReport late = report("a", 0.1);
    late.age = 500ms;
    EXPECT_TRUE(loads.takeIn(late, now + 200ms).ok());
    EXPECT_EQ(loads.neighbours(now + 200ms)[0].fullness, 0.9);
}

// Guards against a process that nobody listed and that shifts the zone's total bandwidth and mean fullness.
TEST_F(GatewayLoadsTest, takeIn_unlistedGateway_isRejected)
{
    loads.setListed({"a"});
    EXPECT_TRUE(loads.takeIn(report("a"), now).ok());
    EXPECT_EQ(failureCode(loads.takeIn(report("b"), now)), FailureCode::NoEndpoint);
    EXPECT_EQ(loads.neighbours(now).size(), 1U);
}

// Guards against faulty gateways whose values make their neighbours leave the rotation, or stay in it.
TEST_F(GatewayLoadsTest, takeIn_impossibleValue_isRejected)
{
    expectRejected(report(""));
    expectRejected(report(std::string(257, 'x')));
    constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    for (const double value : {-0.1, kNaN, kInfinity, 1e7}) {
        expectRejected(report("a", value));
        GatewayLoadReport it = report("a");
        it.linkMbps = value;
        expectRejected(it);
    }
    for (const Duration age : {Duration(-1us), Duration(60'001ms)}) {
        GatewayLoadReport it = report("a");
        it.age = age;
        expectRejected(it);
    }
}

// Guards against memory that grows with the names which a faulty collector sends.
TEST_F(GatewayLoadsTest, takeIn_tooManyNames_areRefusedUntilOldOnesExpire)
{
    for (std::size_t n = 0; n < GatewayLoads::kMaximumGateways; ++n) {
        EXPECT_TRUE(loads.takeIn(report("g" + std::to_string(n)), now).ok());
    }
    EXPECT_EQ(failureCode(loads.takeIn(report("one more"), now)), FailureCode::Overloaded);
    now += 4s;
    EXPECT_TRUE(loads.takeIn(report("one more"), now).ok());
    EXPECT_EQ(loads.neighbours(now).size(), 1U);
}
