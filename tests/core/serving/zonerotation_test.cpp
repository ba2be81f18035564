#include "serving/zonerotation.h"

#include <gtest/gtest.h>

#include <limits>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class ZoneRotationTest : public testing::Test
{
protected:
    static GatewayLoadReport report(const std::string &name, double mbps, double fullness, bool isDiverting = false)
    {
        GatewayLoadReport report;
        report.gateway = name;
        report.linkMbps = mbps;
        report.fullness = fullness;
        report.isDiverting = isDiverting;
        return report;
    }

    /// Names of the gateways that may leave, each asked with the same reports.
    std::string leaving(const std::vector<GatewayLoadReport> &reports)
    {
        std::string names;
        for (const GatewayLoadReport &own : reports) {
            const bool isFull = own.fullness > settings.fullAbove && !own.isDiverting;
            names += isFull && ZoneRotation(settings, own, reports).mayLeave() ? own.gateway : "";
        }
        return names;
    }

    const ZoneRotationSettings settings;
};

// Guards against two full gateways that both leave where one may, each of which takes the other for the one that stays.
TEST_F(ZoneRotationTest, mayLeave_twoFullOfFour_oneLeaves)
{
    EXPECT_EQ(leaving({report("a", 50, 1.2), report("b", 10, 1), report("c", 50, 0.1), report("d", 50, 0.1)}), "b");
    EXPECT_EQ(leaving({report("a", 50, 0.9), report("b", 50, 1.2), report("c", 50, 0.1), report("d", 50, 0.1)}), "b");
    EXPECT_EQ(leaving({report("a", 50, 1.6), report("b", 50, 1.2), report("c", 50, 0.1), report("d", 50, 0.1)}), "a");
}

// Guards against a small gateway that is always nearly full, and thereby keeps one that refuses requests in rotation.
TEST_F(ZoneRotationTest, mayLeave_overloadedAndNearlyFull_overloadedLeaves)
{
    EXPECT_EQ(leaving({report("a", 10, 0.9), report("b", 50, 1), report("c", 50, 0.1), report("d", 50, 0.1)}), "b");
}

// Guards against a zone that loses half of its gateways: the load balancer would use all of them again.
TEST_F(ZoneRotationTest, mayLeave_manySmallFull_underHalfLeave)
{
    std::vector<GatewayLoadReport> reports{report("large", 1000, 0.1)};
    for (const char *name : {"a", "b", "c", "d", "e", "f"}) {
        reports.push_back(report(name, 10, 1));
    }

    EXPECT_EQ(leaving(reports), "abc");

    reports[5].isDiverting = true;
    reports[6].isDiverting = true;
    EXPECT_EQ(leaving(reports), "a");
}

// Guards against a large gateway whose callers no neighbour has the bandwidth for.
TEST_F(ZoneRotationTest, mayLeave_overAThirdOfTheBandwidth_stays)
{
    EXPECT_EQ(leaving({report("a", 200, 1), report("b", 100, 0.1), report("c", 100, 0.1), report("d", 50, 0.1)}), "");
    EXPECT_EQ(leaving({report("a", 100, 1), report("b", 100, 0.1), report("c", 100, 0.1)}), "a");
    EXPECT_EQ(leaving({report("a", 0, 1), report("b", 0, 0.1), report("c", 0, 0.1)}), "a");
}

// Guards against callers that are sent to neighbours which are as full.
TEST_F(ZoneRotationTest, mayLeave_neighboursBusy_stays)
{
    EXPECT_EQ(leaving({report("a", 10, 1), report("b", 100, 0.75), report("c", 100, 0.72), report("d", 100, 0.7)}), "");
    EXPECT_EQ(leaving({report("a", 10, 1), report("b", 100, 0.75), report("c", 100, 0.72), report("d", 100, 0.4)}),
              "a");
    // One neighbour with far more work than it can do does not make the others busy.
    EXPECT_EQ(leaving({report("a", 10, 1), report("b", 20, 9), report("c", 100, 0.1), report("d", 100, 0.1)}), "a");
    // Neighbours that are away take no callers.
    EXPECT_EQ(leaving({report("a", 10, 1), report("b", 10, 0, true), report("c", 10, 0, true), report("d", 10, 0.8),
                       report("e", 10, 0.8), report("f", 10, 0.8), report("g", 10, 0.8)}),
              "");
}

// Guards against decisions by reports of gateways that have ended.
TEST_F(ZoneRotationTest, reports_old_areIgnored)
{
    GatewayLoadReport old = report("b", 10, 0.1);
    old.age = settings.maximumReportAge + 1ms;
    const GatewayLoadReport own = report("a", 10, 1);

    EXPECT_EQ(ZoneRotation(settings, own, {own, old}).knownNeighbours(), 0);
    EXPECT_FALSE(ZoneRotation(settings, own, {own, old, report("c", 10, 0.1)}).mayLeave());
}

// Guards against too many gateways that stay away since they left before they knew of one another.
TEST_F(ZoneRotationTest, mayStayAway_tooManyAway_lowestRankedStay)
{
    std::vector<GatewayLoadReport> reports{report("a", 10, 1, true), report("b", 20, 1, true), report("c", 30, 1, true),
                                           report("d", 200, 0.1), report("e", 200, 0.1)};
    std::string staying;
    for (const GatewayLoadReport &own : reports) {
        staying += own.isDiverting && ZoneRotation(settings, own, reports).mayStayAway() ? own.gateway : "";
    }

    EXPECT_EQ(staying, "ab");
}
