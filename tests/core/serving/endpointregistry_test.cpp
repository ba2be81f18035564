#include "serving/endpointregistry.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class EndpointRegistryTest : public testing::Test
{
protected:
    static EndpointListing listing(const std::string &id, bool isLeaving = false,
                                   std::int64_t startedAtMilliseconds = 1)
    {
        EndpointListing listing;
        listing.startedAtMilliseconds = startedAtMilliseconds;
        listing.id = EndpointId(id);
        listing.pool = PoolId("llm");
        listing.address = "10.0.0.1:1";
        listing.zone = "north";
        listing.slots = 4;
        listing.isLeaving = isLeaving;
        return listing;
    }

    EndpointAvailability availability(const std::string &id, int milliseconds)
    {
        const auto slot = registry.slotOf(EndpointId(id));
        return slot ? registry.availability(*slot, at(milliseconds)) : EndpointAvailability::Gone;
    }

    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::milliseconds(milliseconds));
    }

    EndpointRegistry registry;
};

TEST_F(EndpointRegistryTest, leaving_isFinalForOneLife)
{
    registry.list(listing("a"), at(0));
    registry.list(listing("a", true), at(0));
    registry.list(listing("a"), at(0));
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Leaving);
}

// Guards against a list, late, read anew or after a lapse, that takes back what an endpoint has said itself.
TEST_F(EndpointRegistryTest, leavingByItsOwnWord_isFinalForOneLife)
{
    registry.list(listing("a"), at(0));
    const EndpointSlot slot = *registry.slotOf(EndpointId("a"));
    EXPECT_TRUE(registry.noteLeaving(slot));
    EXPECT_FALSE(registry.noteLeaving(slot));
    registry.list(listing("a"), at(10));
    EXPECT_EQ(availability("a", 10), EndpointAvailability::Leaving);
    registry.replaceAll({listing("a")}, at(20));
    EXPECT_EQ(availability("a", 20), EndpointAvailability::Leaving);
    EXPECT_EQ(registry.countLeaving(at(20)), 1U);
    registry.noteStoreBack(at(30));
    registry.replaceAll({}, at(30));
    EXPECT_EQ(availability("a", 30), EndpointAvailability::Gone);
    registry.forgetGone(at(40));
    registry.list(listing("a"), at(2'000));
    EXPECT_EQ(availability("a", 2'000), EndpointAvailability::Leaving);
    registry.list(listing("a", false, 2), at(3'000));
    EXPECT_EQ(availability("a", 3'000), EndpointAvailability::Usable);
}

// Guards against the word of an earlier life that empties a later one.
TEST_F(EndpointRegistryTest, leavingOfAnEarlierLife_saysNothingOfTheLater)
{
    registry.list(listing("a"), at(0));
    const EndpointSlot earlier = *registry.slotOf(EndpointId("a"));
    registry.list(listing("a", false, 2), at(10));
    registry.noteLeaving(earlier);
    EXPECT_EQ(availability("a", 10), EndpointAvailability::Usable);
}

TEST_F(EndpointRegistryTest, leavingEndpointThatVanishes_isGoneAtOnce)
{
    registry.list(listing("a", true), at(0));
    registry.unlist(EndpointId("a"), at(10));
    EXPECT_EQ(availability("a", 10), EndpointAvailability::Gone);
}

TEST_F(EndpointRegistryTest, oneOfMany_thatVanishesUnannounced_isDoubtfulForAWhile)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        registry.list(listing(id), at(0));
    }
    registry.unlist(EndpointId("a"), at(0));
    EXPECT_EQ(availability("a", 1700), EndpointAvailability::Suspect);
    EXPECT_EQ(availability("a", 1900), EndpointAvailability::Gone);
    EXPECT_EQ(availability("b", 1900), EndpointAvailability::Usable);
}

// The store was away for longer than the entries last. At its return the whole list is empty, and fills again with the
// endpoints' next heartbeats two seconds later. Calls go on meanwhile.
TEST_F(EndpointRegistryTest, lapsedList_keepsItsEndpointsUntilTheyAreBack)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        registry.list(listing(id), at(0));
    }
    registry.noteStoreBack(at(0));
    registry.replaceAll({}, at(0));
    EXPECT_EQ(availability("a", 2500), EndpointAvailability::Suspect);
    registry.list(listing("a"), at(0));
    EXPECT_EQ(availability("a", 2600), EndpointAvailability::Usable);
    EXPECT_EQ(availability("b", 3600), EndpointAvailability::Gone);
}

// Guards against calls that reach endpoints seconds after they were taken away: half of a pool is removed unannounced
// while the store is sound, which is no lapse of the list.
TEST_F(EndpointRegistryTest, halfOfAPoolRemovedWhileTheStoreIsSound_isGoneAsOneWouldBe)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        registry.list(listing(id), at(0));
    }
    registry.noteStoreBack(at(0));
    registry.unlist(EndpointId("a"), at(5000));
    registry.unlist(EndpointId("b"), at(5000));
    EXPECT_EQ(availability("a", 6700), EndpointAvailability::Suspect);
    EXPECT_EQ(availability("a", 6900), EndpointAvailability::Gone);
}

TEST_F(EndpointRegistryTest, goneEndpoint_isForgottenOnceNothingIsUnderWayThere)
{
    registry.list(listing("a", true), at(0));
    const EndpointSlot slot = *registry.slotOf(EndpointId("a"));
    registry.at(slot).inFlight = 1;
    registry.unlist(EndpointId("a"), at(0));
    EXPECT_TRUE(registry.forgetGone(at(1)).empty());
    registry.at(slot).inFlight = 0;
    EXPECT_EQ(registry.forgetGone(at(1)), std::vector<EndpointSlot>{slot});
    EXPECT_TRUE(registry.pool(PoolId("llm")).empty());
}

// An engine crashes behind a cut and starts again under its id. What it was believed to hold, to be busy with and to
// have announced is of its earlier life: calls that ended there would otherwise free room that the new life never gave.
TEST_F(EndpointRegistryTest, rebornEndpoint_startsAnew)
{
    registry.list(listing("a", true), at(0));
    const EndpointSlot before = *registry.slotOf(EndpointId("a"));
    registry.at(before).inFlight = 3;
    EXPECT_EQ(registry.list(listing("a", false, 2), at(0)), ListingOutcome::Restarted);
    const EndpointSlot after = *registry.slotOf(EndpointId("a"));
    ASSERT_NE(before, after);
    EXPECT_EQ(registry.availability(after, at(0)), EndpointAvailability::Usable);
    EXPECT_EQ(registry.at(after).inFlight, 0);
    EXPECT_EQ(registry.availability(before, at(0)), EndpointAvailability::Gone);
    EXPECT_TRUE(registry.forgetGone(at(0)).empty()) << "calls of the earlier life are still under way";
    registry.at(before).inFlight = 0;
    EXPECT_EQ(registry.forgetGone(at(0)), std::vector<EndpointSlot>{before});
    EXPECT_EQ(registry.slotOf(EndpointId("a")), after);
}

TEST_F(EndpointRegistryTest, newsOfAnEarlierLife_isIgnored)
{
    registry.list(listing("a", false, 2), at(0));
    EXPECT_EQ(registry.list(listing("a", true, 1), at(0)), ListingOutcome::Outdated);
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
}

// The list is read late, from a gateway that was behind: the endpoint has left and is forgotten by then.
TEST_F(EndpointRegistryTest, lateNewsOfAForgottenEndpoint_doesNotBringItBack)
{
    registry.list(listing("a", true, 2), at(0));
    registry.unlist(EndpointId("a"), at(0));
    ASSERT_EQ(registry.forgetGone(at(10)).size(), 1U);
    EXPECT_EQ(registry.list(listing("a", false, 1), at(0)), ListingOutcome::Outdated);
    registry.list(listing("a", false, 2), at(0));
    EXPECT_EQ(availability("a", 20), EndpointAvailability::Leaving);
    registry.list(listing("a", false, 3), at(0));
    EXPECT_EQ(availability("a", 30), EndpointAvailability::Usable);
}

TEST_F(EndpointRegistryTest, listWithARebornEndpoint_tellsIt)
{
    registry.replaceAll({listing("a"), listing("b")}, at(0));
    const std::vector<EndpointId> reborn = registry.replaceAll({listing("a", false, 5), listing("b")}, at(10));
    EXPECT_EQ(reborn, std::vector<EndpointId>{EndpointId("a")});
    EXPECT_EQ(registry.pool(PoolId("llm")).size(), 3U);
    registry.forgetGone(at(10));
    EXPECT_EQ(registry.pool(PoolId("llm")).size(), 2U);
}

TEST_F(EndpointRegistryTest, closedZone_itsEndpointsGetNothingUntilItIsOpen)
{
    registry.list(listing("a"), at(0));
    registry.setClosedZones({"north"});
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Cordoned);
    EXPECT_EQ(registry.openZone("north"), std::vector<EndpointSlot>{*registry.slotOf(EndpointId("a"))});
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
}

// Guards against calls into a closed zone by way of an endpoint that is listed after the order.
TEST_F(EndpointRegistryTest, endpointListedInAClosedZone_getsNothing)
{
    registry.closeZone("north");
    registry.list(listing("a"), at(0));
    registry.closeZone("south");
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Cordoned);
}

// Guards against calls into a closed zone that go to an endpoint whose entry has lapsed there.
TEST_F(EndpointRegistryTest, doubtfulEndpointOfAClosedZone_getsNothing)
{
    registry.list(listing("a"), at(0));
    registry.closeZone("north");
    registry.unlist(EndpointId("a"), at(0));
    EXPECT_EQ(availability("a", 100), EndpointAvailability::Cordoned);
    EXPECT_EQ(availability("a", 4000), EndpointAvailability::Gone);
}

// Guards against an endpoint that is taken for cold again and again by one entry that is read several times.
TEST_F(EndpointRegistryTest, coldEntry_readAgain_isNoColderThanBefore)
{
    EndpointListing it = listing("a");
    it.revision = 4;
    it.coldFor = std::chrono::seconds(3);
    registry.list(it, at(0));
    const EndpointSlot slot = *registry.slotOf(EndpointId("a"));
    registry.list(it, at(2000));
    EXPECT_TRUE(registry.isCold(slot, at(2999)));
    EXPECT_FALSE(registry.isCold(slot, at(3000)));
    it.revision = 5;
    registry.list(it, at(4000));
    EXPECT_TRUE(registry.isCold(slot, at(6999)));
}

/// Entries of the store at revisions of their own, all for one address.
class ReplacedEndpointTest : public EndpointRegistryTest
{
protected:
    void list(const std::string &id, std::uint64_t revision)
    {
        EndpointListing it = listing(id);
        it.revision = revision;
        registry.list(it, at(0));
    }

    void miss(const std::string &id)
    {
        registry.noteWrongEndpoint(*registry.slotOf(EndpointId(id)));
    }
};

TEST_F(ReplacedEndpointTest, endpointsBackUnderNewIds_oldEntriesAreNotUsedBeforeTheyLapse)
{
    // All instances lose their power. The endpoints are back a second later under new ids at their old addresses, and
    // are listed at once; the old entries lapse after three seconds more. A call that is sent to an old id is turned
    // away by the new one, and where it may be sent but once its caller gets a failure.
    list("old", 5);
    list("new", 9);

    EXPECT_EQ(availability("old", 0), EndpointAvailability::Replaced);
    EXPECT_EQ(availability("new", 0), EndpointAvailability::Usable);
    registry.unlist(EndpointId("old"), at(3000));
    EXPECT_EQ(availability("old", 3000), EndpointAvailability::Gone);
    EXPECT_EQ(availability("new", 3000), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, entriesRead_inAnyOrder_theNewerHolds)
{
    list("new", 9);
    list("old", 5);

    EXPECT_EQ(availability("old", 0), EndpointAvailability::Replaced);
    EXPECT_EQ(availability("new", 0), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, lateNewsOfOneThatHasEnded_isShownUpByTheFirstCallThatMissesIt)
{
    // The entry of an endpoint that has ended is written once more, after that of its successor.
    list("new", 9);
    list("old", 12);
    EXPECT_EQ(availability("new", 0), EndpointAvailability::Replaced);

    miss("old");

    EXPECT_EQ(availability("old", 0), EndpointAvailability::Replaced);
    EXPECT_EQ(availability("new", 0), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, missedEndpoint_isUsedAgainOnceItsEntryChanges)
{
    list("a", 5);
    miss("a");
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Replaced);
    list("a", 5);
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Replaced);

    list("a", 6);

    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, successorVanishes_theOlderEntryHoldsAgain)
{
    list("a", 5);
    list("b", 9);
    registry.unlist(EndpointId("b"), at(0));

    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, revisionsNotKnown_bothAreUsed)
{
    list("a", 0);
    list("b", 0);

    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
    EXPECT_EQ(availability("b", 0), EndpointAvailability::Usable);
}
