#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// Endpoints that have crashed, and whose entries stand until they lapse.
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

    /// How many of a hundred calls are placed at the first `count` endpoints.
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

// Guards against a call that tries three dead endpoints in a row, and is refused while others are idle.
TEST_F(CrashedEndpointTest, endpointsThatCrashed_getNoCallsWhileOthersLive)
{
    EXPECT_GT(placedAtFirst(3), 0);
    for (int n = 0; n < 3; ++n) {
        gate.noteCrashed(id(n));
    }
    EXPECT_EQ(placedAtFirst(3), 0);
}

// Guards against a pool that is left without endpoints because all of them are taken for dead.
TEST_F(CrashedEndpointTest, allEndpointsCrashed_someAreTriedAllTheSame)
{
    for (int n = 0; n < kEndpoints; ++n) {
        gate.noteCrashed(id(n));
    }
    EXPECT_EQ(placedAtFirst(kEndpoints), 100);
}

// Guards against an endpoint that is left out for ever.
TEST_F(CrashedEndpointTest, endpointThatIsListedOn_isTriedAgain)
{
    gate.noteCrashed(id(0));
    timers.advance(std::chrono::seconds(10));
    EXPECT_GT(placedAtFirst(1), 0);
}
