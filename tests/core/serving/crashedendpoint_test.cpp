#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// Endpoints that have crashed, and whose entries remain until they expire.
class CrashedEndpointTest : public testing::Test
{
protected:
    static constexpr int kEndpoints = 8;

    CrashedEndpointTest()
    {
        for (int n = 0; n < kEndpoints; ++n) {
            EndpointListing listing;
            listing.id = id(n);
            listing.pool = PoolId("llm");
            listing.address = "10.0.0." + std::to_string(n) + ":1";
            listing.zone = "a";
            listing.slots = 64;
            gate.registry().list(listing, timers.now());
        }
    }

    static EndpointId id(int n)
    {
        return EndpointId("engine-" + std::to_string(n));
    }

    /// Number of calls out of a hundred that are placed at the first `count` endpoints.
    int placedAtFirst(int count)
    {
        int placed = 0;
        for (int call = 0; call < 100; ++call) {
            PlacementQuery query;
            query.call = RequestId("call-" + std::to_string(call));
            query.pool = PoolId("llm");
            gate.place(query, [&](const absl::StatusOr<Placement> &placement) {
                ASSERT_TRUE(placement.ok());
                for (int n = 0; n < count; ++n) {
                    placed += placement->endpoint == id(n) ? 1 : 0;
                }
                gate.noteEnded(placement->id, RunEnd::Ok);
            });
        }
        return placed;
    }

    VirtualTimerService timers;
    SeededRandom random{5};
    CallGate gate{timers, random, "self", "a"};
};

// Guards against a call that tries three crashed endpoints in a row, and is refused although others are idle.
TEST_F(CrashedEndpointTest, crashedEndpoints_othersAlive_getNoCalls)
{
    EXPECT_GT(placedAtFirst(3), 0);
    for (int n = 0; n < 3; ++n) {
        gate.noteCrashed({id(n), 0});
    }
    EXPECT_EQ(placedAtFirst(3), 0);
}

// Guards against a pool without any endpoint because all of them are considered crashed.
TEST_F(CrashedEndpointTest, allEndpoints_crashed_someAreStillTried)
{
    for (int n = 0; n < kEndpoints; ++n) {
        gate.noteCrashed({id(n), 0});
    }
    EXPECT_EQ(placedAtFirst(kEndpoints), 100);
}

// Guards against an endpoint that is never used again.
TEST_F(CrashedEndpointTest, crashedEndpoint_stillListed_isTriedAgain)
{
    gate.noteCrashed({id(0), 0});
    timers.advance(std::chrono::seconds(10));
    EXPECT_GT(placedAtFirst(1), 0);
}
