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

TEST_F(AllowedRegionsTest, regions_bothListsEmpty_allAreAllowed)
{
    EXPECT_TRUE(AllowedRegions({}, {}).allows("east"));
    EXPECT_TRUE(AllowedRegions({}, {}).allows(""));
}

TEST_F(AllowedRegionsTest, regions_bothListsSet_onlyCommonOnesAreAllowed)
{
    const AllowedRegions allowed({"east", "west"}, {"west", "south"});
    EXPECT_TRUE(allowed.allows("west"));
    EXPECT_FALSE(allowed.allows("east"));
    EXPECT_FALSE(allowed.allows("south"));
}

TEST_F(AllowedRegionsTest, regions_withoutCommonOne_noneIsAllowed)
{
    const AllowedRegions allowed({"east"}, {"west"});
    EXPECT_FALSE(allowed.allows("east"));
    EXPECT_FALSE(allowed.allows("west"));
}

// Guards against a prompt that leaves its region through an endpoint in a zone whose region is not configured.
TEST_F(AllowedRegionsTest, unknownRegion_restrictedCall_isNotAllowed)
{
    EXPECT_FALSE(AllowedRegions({"east"}, {}).allows(""));
    EXPECT_FALSE(AllowedRegions({}, {"east"}).allows(""));
}

/// Two regions with one endpoint each, and an endpoint without a known region. The eastern endpoint has room for one
/// call.
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

    /// Places a call. Returns the id of its endpoint, "refused", or nullopt while the call waits.
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
TEST_F(RestrictedCallsTest, restrictedCall_regionFullOrClosed_goesNowhereElse)
{
    const AllowedRegions east({"east"}, {});
    EXPECT_EQ(place(east), "eastern");
    gate.closeZone("north");
    EXPECT_EQ(place(east), "refused");
}

// Guards against calls that wait for an endpoint that can't exist.
TEST_F(RestrictedCallsTest, restrictedCall_noEndpointAllowed_isRefusedAtOnce)
{
    EXPECT_EQ(place(AllowedRegions({"east"}, {"west"})), "refused");
    EXPECT_EQ(place(AllowedRegions({"moon"}, {})), "refused");
}

// Guards against idle endpoints because the call at the head of the queue may not be sent to them.
TEST_F(RestrictedCallsTest, restrictedCall_atHeadOfQueue_doesNotBlockOthers)
{
    const AllowedRegions east({"east"}, {});
    EXPECT_EQ(place(east), "eastern");
    EXPECT_EQ(place(east), std::nullopt);
    EXPECT_EQ(place(AllowedRegions()), std::nullopt) << "queued behind the waiting call";
    timers.advance(std::chrono::milliseconds(60));
    EXPECT_EQ(placedElsewhere, 1);
}
