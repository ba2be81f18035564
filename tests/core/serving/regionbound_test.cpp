#include "seededrandom.h"
#include "serving/callgate.h"
#include "serving/regionbound.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

using namespace RadishSwitch;

class RegionBoundTest : public testing::Test
{
};

TEST_F(RegionBoundTest, neitherNamesRegions_allAreAllowed)
{
    EXPECT_TRUE(RegionBound({}, {}).allows("east"));
    EXPECT_TRUE(RegionBound({}, {}).allows(""));
}

TEST_F(RegionBoundTest, bothNameRegions_onlyWhatBothNameIsAllowed)
{
    const RegionBound bound({"east", "west"}, {"west", "south"});
    EXPECT_TRUE(bound.allows("west"));
    EXPECT_FALSE(bound.allows("east"));
    EXPECT_FALSE(bound.allows("south"));
}

TEST_F(RegionBoundTest, boundsWithoutACommonRegion_allowNone)
{
    const RegionBound bound({"east"}, {"west"});
    EXPECT_FALSE(bound.allows("east"));
    EXPECT_FALSE(bound.allows("west"));
}

// Guards against a prompt that leaves its region by way of an endpoint in a zone that nobody told the region of.
TEST_F(RegionBoundTest, unknownRegion_isNotAllowed)
{
    EXPECT_FALSE(RegionBound({"east"}, {}).allows(""));
    EXPECT_FALSE(RegionBound({}, {"east"}).allows(""));
}

/// Two regions with an endpoint each; the one in the east has room for one call.
class BoundCallsTest : public testing::Test
{
protected:
    BoundCallsTest()
        : gate(timers, random, "gateway", "north", settings())
    {
        list("eastern", "north", 1);
        list("western", "south", 8);
        list("lost", "nowhere", 8);
    }

    static CallGateSettings settings()
    {
        CallGateSettings settings;
        settings.registry.zoneRegions = {{"north", "east"}, {"south", "west"}};
        return settings;
    }

    void list(const std::string &id, const std::string &zone, int slots)
    {
        EndpointListing listing;
        listing.id = EndpointId(id);
        listing.pool = PoolId("llm");
        listing.address = id + ":1";
        listing.zone = zone;
        listing.slots = slots;
        gate.registry().list(listing, timers.now());
    }

    /// Where a call of that bound goes; nothing while it waits; "refused" if it is.
    std::optional<std::string> place(const RegionBound &regions)
    {
        PlacementQuery query;
        query.call = RequestId("call-" + std::to_string(++m_calls));
        query.pool = PoolId("llm");
        query.organisation = OrganisationId("o");
        query.deadline = timers.now() + std::chrono::seconds(1);
        query.regions = regions;
        const auto where = std::make_shared<std::optional<std::string>>();
        gate.place(query, [this, where](const absl::StatusOr<Placement> &placement) {
            *where = placement.ok() ? placement->endpoint.value() : "refused";
            placedElsewhere += placement.ok() && placement->endpoint.value() != "eastern" ? 1 : 0;
        });
        return *where;
    }

    VirtualTimerService timers;
    SeededRandom random{3};
    CallGate gate;
    int placedElsewhere = 0;

private:
    int m_calls = 0;
};

// Guards against a prompt that leaves its region because the endpoints there are full, cordoned or gone.
TEST_F(BoundCallsTest, boundCalls_goNowhereElse)
{
    const RegionBound east({"east"}, {});
    EXPECT_EQ(place(east), "eastern");
    gate.closeZone("north");
    EXPECT_EQ(place(east), "refused");
}

// Guards against callers that wait for an endpoint that cannot be there.
TEST_F(BoundCallsTest, boundsThatLeaveNothing_areRefusedAtOnce)
{
    EXPECT_EQ(place(RegionBound({"east"}, {"west"})), "refused");
    EXPECT_EQ(place(RegionBound({"moon"}, {})), "refused");
}

// Guards against free endpoints that stand idle, because the call at the head of the line may not be sent there.
TEST_F(BoundCallsTest, boundCallAtTheHeadOfTheLine_doesNotHoldUpOthers)
{
    const RegionBound east({"east"}, {});
    EXPECT_EQ(place(east), "eastern");
    EXPECT_EQ(place(east), std::nullopt);
    EXPECT_EQ(place(RegionBound()), std::nullopt) << "behind the one that waits";
    timers.advance(std::chrono::milliseconds(60));
    EXPECT_EQ(placedElsewhere, 1);
}
