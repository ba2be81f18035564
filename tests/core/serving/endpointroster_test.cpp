#include "serving/endpointroster.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class EndpointRosterTest : public testing::Test
{
protected:
    static EndpointListing listing(const std::string &id, bool isLeaving = false)
    {
        EndpointListing listing;
        listing.id = EndpointId(id);
        listing.pool = PoolId("llm");
        listing.address = "10.0.0.1:1";
        listing.slots = 4;
        listing.isLeaving = isLeaving;
        return listing;
    }

    RosterStanding standing(const std::string &id, int milliseconds)
    {
        const auto slot = roster.slotOf(EndpointId(id));
        return slot ? roster.standing(*slot, at(milliseconds)) : RosterStanding::Gone;
    }

    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::milliseconds(milliseconds));
    }

    EndpointRoster roster;
};

TEST_F(EndpointRosterTest, leaving_isFinalForOneLife)
{
    roster.list(listing("a"));
    roster.list(listing("a", true));
    roster.list(listing("a"));
    EXPECT_EQ(standing("a", 0), RosterStanding::Leaving);
}

TEST_F(EndpointRosterTest, leavingEndpointThatVanishes_isGoneAtOnce)
{
    roster.list(listing("a", true));
    roster.unlist(EndpointId("a"), at(10));
    EXPECT_EQ(standing("a", 10), RosterStanding::Gone);
}

TEST_F(EndpointRosterTest, oneOfMany_thatVanishesUnannounced_isDoubtfulForAWhile)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        roster.list(listing(id));
    }
    roster.unlist(EndpointId("a"), at(0));
    EXPECT_EQ(standing("a", 1700), RosterStanding::Doubtful);
    EXPECT_EQ(standing("a", 1900), RosterStanding::Gone);
    EXPECT_EQ(standing("b", 1900), RosterStanding::Usable);
}

// The store was away for longer than the entries last. At its return the whole list is empty, and fills again with the
// endpoints' next heartbeats two seconds later. Calls go on meanwhile.
TEST_F(EndpointRosterTest, lapsedList_keepsItsEndpointsUntilTheyAreBack)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        roster.list(listing(id));
    }
    roster.replaceAll({}, at(0));
    EXPECT_EQ(standing("a", 2500), RosterStanding::Doubtful);
    roster.list(listing("a"));
    EXPECT_EQ(standing("a", 2600), RosterStanding::Usable);
    EXPECT_EQ(standing("b", 3600), RosterStanding::Gone);
}

TEST_F(EndpointRosterTest, goneEndpoint_isForgottenOnceNothingIsUnderWayThere)
{
    roster.list(listing("a", true));
    const EndpointSlot slot = *roster.slotOf(EndpointId("a"));
    roster.at(slot).inFlight = 1;
    roster.unlist(EndpointId("a"), at(0));
    EXPECT_TRUE(roster.forgetGone(at(1)).empty());
    roster.at(slot).inFlight = 0;
    EXPECT_EQ(roster.forgetGone(at(1)), std::vector<EndpointSlot>{slot});
    EXPECT_TRUE(roster.pool(PoolId("llm")).empty());
}
