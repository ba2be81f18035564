#include "gatewayrotation.h"

#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class GatewayRotationTest : public testing::Test
{
protected:
    GatewayRotationTest()
    {
        RotationSettings settings;
        settings.gateway = "a";
        RotationInputs inputs;
        inputs.fullness = [this](Instant /*now*/) {
            return fullness;
        };
        inputs.neighbours = [this](Instant /*now*/) {
            ++neighbourQueries;
            return neighbours;
        };
        rotation = std::make_unique<GatewayRotation>(timers, random, metrics, settings, inputs, [this] {
            ++changes;
        });
    }

    void knowNeighbours()
    {
        for (const char *name : {"b", "c", "d", "e"}) {
            neighbours.emplace_back().gateway = name;
        }
    }

    void refuse(Duration span)
    {
        for (Duration past{}; past < span; past += 50ms) {
            rotation->noteRefused(RotationReason::Link);
            timers.advance(50ms);
        }
    }

    int closedOf(int connections)
    {
        int closed = 0;
        for (int n = 0; n < connections; ++n) {
            closed += rotation->closesConnection() ? 1 : 0;
        }
        return closed;
    }

    VirtualTimerService timers;
    SeededRandom random;
    Metrics metrics;
    double fullness = 0.1;
    std::vector<GatewayLoadReport> neighbours;
    int neighbourQueries = 0;
    int changes = 0;
    std::unique_ptr<GatewayRotation> rotation;
};

// Guards against a gateway that copies its neighbours' reports ten times a second although it has capacity left.
TEST_F(GatewayRotationTest, update_capacityLeft_doesNotReadReports)
{
    timers.advance(60s);

    EXPECT_EQ(neighbourQueries, 0);
    EXPECT_EQ(changes, 0);
    EXPECT_FALSE(rotation->closesConnection());
}

// Guards against a gateway that is full and goes on getting new callers, or never gets any again.
TEST_F(GatewayRotationTest, isAway_nearlyFull_isToldWhenItChangesAndCounted)
{
    knowNeighbours();
    fullness = 0.9;
    timers.advance(1200ms);
    EXPECT_TRUE(rotation->isAway());
    EXPECT_EQ(changes, 1);
    EXPECT_EQ(closedOf(1000), 0);
    timers.advance(2s);
    const int closed = closedOf(3000);
    EXPECT_GT(closed, 900);
    EXPECT_LT(closed, 1100);

    fullness = 0.1;
    timers.advance(4s);

    EXPECT_FALSE(rotation->isAway());
    EXPECT_EQ(changes, 2);
    EXPECT_EQ(closedOf(3000), 0);
    EXPECT_NE(metrics.toText().find("radishswitch_rotation_left_total{reason=\"fullness\"} 1"), std::string::npos);
    EXPECT_NE(metrics.toText().find("radishswitch_gateway_fullness 0.1"), std::string::npos);
}

// Guards against a change of what a gateway without news of its neighbours does when it refuses calls.
TEST_F(GatewayRotationTest, isAway_refusalsWithoutNews_isAwayThreeSecondsAfterTheLast)
{
    refuse(500ms);
    EXPECT_FALSE(rotation->isAway());
    refuse(200ms);
    EXPECT_TRUE(rotation->isAway());
    EXPECT_EQ(closedOf(1000), 0);

    timers.advance(2900ms);
    EXPECT_TRUE(rotation->isAway());
    timers.advance(200ms);
    EXPECT_FALSE(rotation->isAway());
    EXPECT_NE(metrics.toText().find("radishswitch_rotation_left_total{reason=\"link\"} 1"), std::string::npos);
}
