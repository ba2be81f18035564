#include "serving/endpointroster.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class EndpointRosterTest : public testing::Test
{
protected:
    static EndpointListing listing(const std::string &id, bool isLeaving = false, std::int64_t bornAtMilliseconds = 1)
    {
        EndpointListing listing;
        listing.bornAtMilliseconds = bornAtMilliseconds;
        listing.id = EndpointId(id);
        listing.pool = PoolId("llm");
        listing.address = "10.0.0.1:1";
        listing.zone = "north";
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
    roster.list(listing("a"), at(0));
    roster.list(listing("a", true), at(0));
    roster.list(listing("a"), at(0));
    EXPECT_EQ(standing("a", 0), RosterStanding::Leaving);
}

// Guards against a list, late, read anew or after a lapse, that takes back what an endpoint has said itself.
TEST_F(EndpointRosterTest, leavingByItsOwnWord_isFinalForOneLife)
{
    roster.list(listing("a"), at(0));
    const EndpointSlot slot = *roster.slotOf(EndpointId("a"));
    EXPECT_TRUE(roster.noteLeaving(slot));
    EXPECT_FALSE(roster.noteLeaving(slot));
    roster.list(listing("a"), at(10));
    EXPECT_EQ(standing("a", 10), RosterStanding::Leaving);
    roster.replaceAll({listing("a")}, at(20));
    EXPECT_EQ(standing("a", 20), RosterStanding::Leaving);
    EXPECT_EQ(roster.countLeaving(at(20)), 1U);
    roster.noteStoreBack(at(30));
    roster.replaceAll({}, at(30));
    EXPECT_EQ(standing("a", 30), RosterStanding::Gone);
    roster.forgetGone(at(40));
    roster.list(listing("a"), at(2'000));
    EXPECT_EQ(standing("a", 2'000), RosterStanding::Leaving);
    roster.list(listing("a", false, 2), at(3'000));
    EXPECT_EQ(standing("a", 3'000), RosterStanding::Usable);
}

// Guards against the word of an earlier life that empties a later one.
TEST_F(EndpointRosterTest, leavingOfAnEarlierLife_saysNothingOfTheLater)
{
    roster.list(listing("a"), at(0));
    const EndpointSlot earlier = *roster.slotOf(EndpointId("a"));
    roster.list(listing("a", false, 2), at(10));
    roster.noteLeaving(earlier);
    EXPECT_EQ(standing("a", 10), RosterStanding::Usable);
}

TEST_F(EndpointRosterTest, leavingEndpointThatVanishes_isGoneAtOnce)
{
    roster.list(listing("a", true), at(0));
    roster.unlist(EndpointId("a"), at(10));
    EXPECT_EQ(standing("a", 10), RosterStanding::Gone);
}

TEST_F(EndpointRosterTest, oneOfMany_thatVanishesUnannounced_isDoubtfulForAWhile)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        roster.list(listing(id), at(0));
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
        roster.list(listing(id), at(0));
    }
    roster.noteStoreBack(at(0));
    roster.replaceAll({}, at(0));
    EXPECT_EQ(standing("a", 2500), RosterStanding::Doubtful);
    roster.list(listing("a"), at(0));
    EXPECT_EQ(standing("a", 2600), RosterStanding::Usable);
    EXPECT_EQ(standing("b", 3600), RosterStanding::Gone);
}

// Guards against calls that reach endpoints seconds after they were taken away: half of a pool is removed unannounced
// while the store is sound, which is no lapse of the list.
TEST_F(EndpointRosterTest, halfOfAPoolRemovedWhileTheStoreIsSound_isGoneAsOneWouldBe)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        roster.list(listing(id), at(0));
    }
    roster.noteStoreBack(at(0));
    roster.unlist(EndpointId("a"), at(5000));
    roster.unlist(EndpointId("b"), at(5000));
    EXPECT_EQ(standing("a", 6700), RosterStanding::Doubtful);
    EXPECT_EQ(standing("a", 6900), RosterStanding::Gone);
}

TEST_F(EndpointRosterTest, goneEndpoint_isForgottenOnceNothingIsUnderWayThere)
{
    roster.list(listing("a", true), at(0));
    const EndpointSlot slot = *roster.slotOf(EndpointId("a"));
    roster.at(slot).inFlight = 1;
    roster.unlist(EndpointId("a"), at(0));
    EXPECT_TRUE(roster.forgetGone(at(1)).empty());
    roster.at(slot).inFlight = 0;
    EXPECT_EQ(roster.forgetGone(at(1)), std::vector<EndpointSlot>{slot});
    EXPECT_TRUE(roster.pool(PoolId("llm")).empty());
}

// An engine crashes behind a cut and starts again under its id. What it was believed to hold, to be busy with and to
// have announced is of its earlier life: calls that ended there would otherwise free room that the new life never gave.
TEST_F(EndpointRosterTest, rebornEndpoint_startsAnew)
{
    roster.list(listing("a", true), at(0));
    const EndpointSlot before = *roster.slotOf(EndpointId("a"));
    roster.at(before).inFlight = 3;
    EXPECT_EQ(roster.list(listing("a", false, 2), at(0)), ListedNews::Reborn);
    const EndpointSlot after = *roster.slotOf(EndpointId("a"));
    ASSERT_NE(before, after);
    EXPECT_EQ(roster.standing(after, at(0)), RosterStanding::Usable);
    EXPECT_EQ(roster.at(after).inFlight, 0);
    EXPECT_EQ(roster.standing(before, at(0)), RosterStanding::Gone);
    EXPECT_TRUE(roster.forgetGone(at(0)).empty()) << "calls of the earlier life are still under way";
    roster.at(before).inFlight = 0;
    EXPECT_EQ(roster.forgetGone(at(0)), std::vector<EndpointSlot>{before});
    EXPECT_EQ(roster.slotOf(EndpointId("a")), after);
}

TEST_F(EndpointRosterTest, newsOfAnEarlierLife_isIgnored)
{
    roster.list(listing("a", false, 2), at(0));
    EXPECT_EQ(roster.list(listing("a", true, 1), at(0)), ListedNews::Outdated);
    EXPECT_EQ(standing("a", 0), RosterStanding::Usable);
}

// The list is read late, from a gateway that was behind: the endpoint has left and is forgotten by then.
TEST_F(EndpointRosterTest, lateNewsOfAForgottenEndpoint_doesNotBringItBack)
{
    roster.list(listing("a", true, 2), at(0));
    roster.unlist(EndpointId("a"), at(0));
    ASSERT_EQ(roster.forgetGone(at(10)).size(), 1U);
    EXPECT_EQ(roster.list(listing("a", false, 1), at(0)), ListedNews::Outdated);
    roster.list(listing("a", false, 2), at(0));
    EXPECT_EQ(standing("a", 20), RosterStanding::Leaving);
    roster.list(listing("a", false, 3), at(0));
    EXPECT_EQ(standing("a", 30), RosterStanding::Usable);
}

TEST_F(EndpointRosterTest, listWithARebornEndpoint_tellsIt)
{
    roster.replaceAll({listing("a"), listing("b")}, at(0));
    const std::vector<EndpointId> reborn = roster.replaceAll({listing("a", false, 5), listing("b")}, at(10));
    EXPECT_EQ(reborn, std::vector<EndpointId>{EndpointId("a")});
    EXPECT_EQ(roster.pool(PoolId("llm")).size(), 3U);
    roster.forgetGone(at(10));
    EXPECT_EQ(roster.pool(PoolId("llm")).size(), 2U);
}

TEST_F(EndpointRosterTest, closedZone_itsEndpointsGetNothingUntilItIsOpen)
{
    roster.list(listing("a"), at(0));
    roster.setClosedZones({"north"});
    EXPECT_EQ(standing("a", 0), RosterStanding::Cordoned);
    EXPECT_EQ(roster.openZone("north"), std::vector<EndpointSlot>{*roster.slotOf(EndpointId("a"))});
    EXPECT_EQ(standing("a", 0), RosterStanding::Usable);
}

// Guards against calls into a closed zone by way of an endpoint that is listed after the order.
TEST_F(EndpointRosterTest, endpointListedInAClosedZone_getsNothing)
{
    roster.closeZone("north");
    roster.list(listing("a"), at(0));
    roster.closeZone("south");
    EXPECT_EQ(standing("a", 0), RosterStanding::Cordoned);
}

// Guards against calls into a closed zone that go to an endpoint whose entry has lapsed there.
TEST_F(EndpointRosterTest, doubtfulEndpointOfAClosedZone_getsNothing)
{
    roster.list(listing("a"), at(0));
    roster.closeZone("north");
    roster.unlist(EndpointId("a"), at(0));
    EXPECT_EQ(standing("a", 100), RosterStanding::Cordoned);
    EXPECT_EQ(standing("a", 4000), RosterStanding::Gone);
}

// Guards against an endpoint that is taken for cold again and again by one entry that is read several times.
TEST_F(EndpointRosterTest, coldEntry_readAgain_isNoColderThanBefore)
{
    EndpointListing it = listing("a");
    it.revision = 4;
    it.coldFor = std::chrono::seconds(3);
    roster.list(it, at(0));
    const EndpointSlot slot = *roster.slotOf(EndpointId("a"));
    roster.list(it, at(2000));
    EXPECT_TRUE(roster.isCold(slot, at(2999)));
    EXPECT_FALSE(roster.isCold(slot, at(3000)));
    it.revision = 5;
    roster.list(it, at(4000));
    EXPECT_TRUE(roster.isCold(slot, at(6999)));
}

/// Entries of the store at revisions of their own, all for one address.
class ReplacedEndpointTest : public EndpointRosterTest
{
protected:
    void list(const std::string &id, std::uint64_t revision)
    {
        EndpointListing it = listing(id);
        it.revision = revision;
        roster.list(it, at(0));
    }

    void miss(const std::string &id)
    {
        roster.noteMissed(*roster.slotOf(EndpointId(id)));
    }
};

TEST_F(ReplacedEndpointTest, endpointsBackUnderNewIds_oldEntriesAreNotUsedBeforeTheyLapse)
{
    // All instances lose their power. The endpoints are back a second later under new ids at their old addresses, and
    // are listed at once; the old entries lapse after three seconds more. A call that is sent to an old id is turned
    // away by the new one, and where it may be sent but once its caller gets a failure.
    list("old", 5);
    list("new", 9);

    EXPECT_EQ(standing("old", 0), RosterStanding::Replaced);
    EXPECT_EQ(standing("new", 0), RosterStanding::Usable);
    roster.unlist(EndpointId("old"), at(3000));
    EXPECT_EQ(standing("old", 3000), RosterStanding::Gone);
    EXPECT_EQ(standing("new", 3000), RosterStanding::Usable);
}

TEST_F(ReplacedEndpointTest, entriesRead_inAnyOrder_theNewerHolds)
{
    list("new", 9);
    list("old", 5);

    EXPECT_EQ(standing("old", 0), RosterStanding::Replaced);
    EXPECT_EQ(standing("new", 0), RosterStanding::Usable);
}

TEST_F(ReplacedEndpointTest, lateNewsOfOneThatHasEnded_isShownUpByTheFirstCallThatMissesIt)
{
    // The entry of an endpoint that has ended is written once more, after that of its successor.
    list("new", 9);
    list("old", 12);
    EXPECT_EQ(standing("new", 0), RosterStanding::Replaced);

    miss("old");

    EXPECT_EQ(standing("old", 0), RosterStanding::Replaced);
    EXPECT_EQ(standing("new", 0), RosterStanding::Usable);
}

TEST_F(ReplacedEndpointTest, missedEndpoint_isUsedAgainOnceItsEntryChanges)
{
    list("a", 5);
    miss("a");
    EXPECT_EQ(standing("a", 0), RosterStanding::Replaced);
    list("a", 5);
    EXPECT_EQ(standing("a", 0), RosterStanding::Replaced);

    list("a", 6);

    EXPECT_EQ(standing("a", 0), RosterStanding::Usable);
}

TEST_F(ReplacedEndpointTest, successorVanishes_theOlderEntryHoldsAgain)
{
    list("a", 5);
    list("b", 9);
    roster.unlist(EndpointId("b"), at(0));

    EXPECT_EQ(standing("a", 0), RosterStanding::Usable);
}

TEST_F(ReplacedEndpointTest, revisionsNotKnown_bothAreUsed)
{
    list("a", 0);
    list("b", 0);

    EXPECT_EQ(standing("a", 0), RosterStanding::Usable);
    EXPECT_EQ(standing("b", 0), RosterStanding::Usable);
}
