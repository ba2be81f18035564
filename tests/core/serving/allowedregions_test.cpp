#include "seededrandom.h"
#include "serving/allowedregions.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

using namespace RadishSwitch;

class AllowedRegionsTest : public testing::Test
{
};

TEST_F(AllowedRegionsTest, neitherNamesRegions_allAreAllowed)
{
    EXPECT_TRUE(AllowedRegions({}, {}).allows("east"));
    EXPECT_TRUE(AllowedRegions({}, {}).allows(""));
}

TEST_F(AllowedRegionsTest, bothNameRegions_onlyWhatBothNameIsAllowed)
{
    const AllowedRegions bound({"east", "west"}, {"west", "south"});
    EXPECT_TRUE(bound.allows("west"));
    EXPECT_FALSE(bound.allows("east"));
    EXPECT_FALSE(bound.allows("south"));
}

TEST_F(AllowedRegionsTest, boundsWithoutACommonRegion_allowNone)
{
    const AllowedRegions bound({"east"}, {"west"});
    EXPECT_FALSE(bound.allows("east"));
    EXPECT_FALSE(bound.allows("west"));
}

// Guards against a prompt that leaves its region by way of an endpoint in a zone that nobody told the region of.
TEST_F(AllowedRegionsTest, unknownRegion_isNotAllowed)
{
    EXPECT_FALSE(AllowedRegions({"east"}, {}).allows(""));
    EXPECT_FALSE(AllowedRegions({}, {"east"}).allows(""));
}

/// Two regions with an endpoint each; the one in the east has room for one call.
class RestrictedCallsTest : public testing::Test
{
protected:
    RestrictedCallsTest()
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
    std::optional<std::string> place(const AllowedRegions &regions)
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
TEST_F(RestrictedCallsTest, boundCalls_goNowhereElse)
{
    const AllowedRegions east({"east"}, {});
    EXPECT_EQ(place(east), "eastern");
    gate.closeZone("north");
    EXPECT_EQ(place(east), "refused");
}

// Guards against callers that wait for an endpoint that cannot be there.
TEST_F(RestrictedCallsTest, boundsThatLeaveNothing_areRefusedAtOnce)
{
    EXPECT_EQ(place(AllowedRegions({"east"}, {"west"})), "refused");
    EXPECT_EQ(place(AllowedRegions({"moon"}, {})), "refused");
}

// Guards against free endpoints that stand idle, because the call at the head of the line may not be sent there.
TEST_F(RestrictedCallsTest, boundCallAtTheHeadOfTheLine_doesNotHoldUpOthers)
{
    const AllowedRegions east({"east"}, {});
    EXPECT_EQ(place(east), "eastern");
    EXPECT_EQ(place(east), std::nullopt);
    EXPECT_EQ(place(AllowedRegions()), std::nullopt) << "behind the one that waits";
    timers.advance(std::chrono::milliseconds(60));
    EXPECT_EQ(placedElsewhere, 1);
}
