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

TEST_F(EndpointRegistryTest, leavingEndpoint_listedAsReadyAgain_staysLeaving)
{
    registry.list(listing("a"), at(0));
    registry.list(listing("a", true), at(0));
    registry.list(listing("a"), at(0));
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Leaving);
}

// Guards against an old listing, a list that is read again, or a store outage that makes an endpoint usable again after
// it has reported that it is leaving.
TEST_F(EndpointRegistryTest, leavingEndpoint_reportedByItself_staysLeavingUntilRestart)
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

// Guards against a delayed report of an earlier incarnation that takes a restarted endpoint out of use.
TEST_F(EndpointRegistryTest, leavingReport_ofEarlierIncarnation_doesNotAffectLater)
{
    registry.list(listing("a"), at(0));
    const EndpointSlot earlier = *registry.slotOf(EndpointId("a"));
    registry.list(listing("a", false, 2), at(10));
    registry.noteLeaving(earlier);
    EXPECT_EQ(availability("a", 10), EndpointAvailability::Usable);
}

TEST_F(EndpointRegistryTest, leavingEndpoint_unlisted_isGoneAtOnce)
{
    registry.list(listing("a", true), at(0));
    registry.unlist(EndpointId("a"), at(10));
    EXPECT_EQ(availability("a", 10), EndpointAvailability::Gone);
}

TEST_F(EndpointRegistryTest, oneOfMany_unlistedUnannounced_isSuspectForAWhile)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        registry.list(listing(id), at(0));
    }
    registry.unlist(EndpointId("a"), at(0));
    EXPECT_EQ(availability("a", 1700), EndpointAvailability::Suspect);
    EXPECT_EQ(availability("a", 1900), EndpointAvailability::Gone);
    EXPECT_EQ(availability("b", 1900), EndpointAvailability::Usable);
}

// The store was down for longer than the entries last. When it is back, the list is empty, and fills again with the
// endpoints' next heartbeats two seconds later. Guards against a pool without endpoints during that time.
TEST_F(EndpointRegistryTest, list_expiredDuringStoreOutage_keepsEndpointsUntilTheyAreBack)
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

// Guards against calls to endpoints seconds after they were removed: half of a pool is unlisted unannounced, but the
// store was not down, so the list has not expired.
TEST_F(EndpointRegistryTest, halfOfPool_unlistedWithoutStoreOutage_isGoneAfterUsualTime)
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

TEST_F(EndpointRegistryTest, goneEndpoint_withCallsInFlight_isForgottenAfterTheyEnd)
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

// An engine crashes while the network is cut, and restarts under its id. Its cache hints, calls in flight and leaving
// state belong to the earlier incarnation. Guards against calls of that incarnation which free room at the new one when
// they end.
TEST_F(EndpointRegistryTest, restartedEndpoint_withCallsInFlight_startsWithCleanState)
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
    EXPECT_TRUE(registry.forgetGone(at(0)).empty()) << "calls of the earlier incarnation are still in flight";
    registry.at(before).inFlight = 0;
    EXPECT_EQ(registry.forgetGone(at(0)), std::vector<EndpointSlot>{before});
    EXPECT_EQ(registry.slotOf(EndpointId("a")), after);
}

TEST_F(EndpointRegistryTest, listing_ofEarlierIncarnation_isIgnored)
{
    registry.list(listing("a", false, 2), at(0));
    EXPECT_EQ(registry.list(listing("a", true, 1), at(0)), ListingOutcome::Outdated);
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
}

// Guards against an endpoint that has left and was forgotten, and becomes usable again by an old list from a gateway
// that was behind.
TEST_F(EndpointRegistryTest, delayedListing_ofForgottenEndpoint_doesNotBringItBack)
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

TEST_F(EndpointRegistryTest, replaceAll_withRestartedEndpoint_returnsIt)
{
    registry.replaceAll({listing("a"), listing("b")}, at(0));
    const std::vector<EndpointId> restarted = registry.replaceAll({listing("a", false, 5), listing("b")}, at(10));
    EXPECT_EQ(restarted, std::vector<EndpointId>{EndpointId("a")});
    EXPECT_EQ(registry.pool(PoolId("llm")).size(), 3U);
    registry.forgetGone(at(10));
    EXPECT_EQ(registry.pool(PoolId("llm")).size(), 2U);
}

TEST_F(EndpointRegistryTest, endpoint_zoneClosed_isCordonedUntilReopened)
{
    registry.list(listing("a"), at(0));
    registry.setClosedZones({"north"});
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Cordoned);
    EXPECT_EQ(registry.openZone("north"), std::vector<EndpointSlot>{*registry.slotOf(EndpointId("a"))});
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
}

// Guards against calls to an endpoint that is listed in a zone after the zone was closed.
TEST_F(EndpointRegistryTest, endpoint_listedInClosedZone_isCordoned)
{
    registry.closeZone("north");
    registry.list(listing("a"), at(0));
    registry.closeZone("south");
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Cordoned);
}

// Guards against calls to an endpoint in a closed zone whose entry has expired.
TEST_F(EndpointRegistryTest, suspectEndpoint_inClosedZone_isCordoned)
{
    registry.list(listing("a"), at(0));
    registry.closeZone("north");
    registry.unlist(EndpointId("a"), at(0));
    EXPECT_EQ(availability("a", 100), EndpointAvailability::Cordoned);
    EXPECT_EQ(availability("a", 4000), EndpointAvailability::Gone);
}

// Guards against an endpoint whose cold time is extended each time its unchanged entry is read.
TEST_F(EndpointRegistryTest, coldEntry_readAgain_isNotExtended)
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

/// Entries with different revisions of the store, all for one address.
class ReplacedEndpointTest : public EndpointRegistryTest
{
protected:
    void list(const std::string &id, std::uint64_t revision)
    {
        EndpointListing it = listing(id);
        it.revision = revision;
        registry.list(it, at(0));
    }

    void loseAddress(const std::string &id)
    {
        registry.noteWrongEndpoint(*registry.slotOf(EndpointId(id)));
    }
};

TEST_F(ReplacedEndpointTest, endpoint_backUnderNewId_oldEntryIsReplaced)
{
    // After a power loss the endpoints are back within a second under new ids at their old addresses, and are listed at
    // once. The old entries expire three seconds later. A call that is sent to an old id is refused by the new
    // endpoint, and fails if it may be sent only once.
    list("old", 5);
    list("new", 9);

    EXPECT_EQ(availability("old", 0), EndpointAvailability::Replaced);
    EXPECT_EQ(availability("new", 0), EndpointAvailability::Usable);
    registry.unlist(EndpointId("old"), at(3000));
    EXPECT_EQ(availability("old", 3000), EndpointAvailability::Gone);
    EXPECT_EQ(availability("new", 3000), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, entriesOfOneAddress_readInAnyOrder_newerIsUsable)
{
    list("new", 9);
    list("old", 5);

    EXPECT_EQ(availability("old", 0), EndpointAvailability::Replaced);
    EXPECT_EQ(availability("new", 0), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, delayedEntry_ofEndedEndpoint_isReplacedAfterFirstWrongAnswer)
{
    // The entry of an endpoint that has ended is written once more, after the entry of its successor.
    list("new", 9);
    list("old", 12);
    EXPECT_EQ(availability("new", 0), EndpointAvailability::Replaced);

    loseAddress("old");

    EXPECT_EQ(availability("old", 0), EndpointAvailability::Replaced);
    EXPECT_EQ(availability("new", 0), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, endpointWithLostAddress_entryChanges_isUsableAgain)
{
    list("a", 5);
    loseAddress("a");
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Replaced);
    list("a", 5);
    EXPECT_EQ(availability("a", 0), EndpointAvailability::Replaced);

    list("a", 6);

    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, olderEntry_successorUnlisted_isUsableAgain)
{
    list("a", 5);
    list("b", 9);
    registry.unlist(EndpointId("b"), at(0));

    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
}

TEST_F(ReplacedEndpointTest, entriesOfOneAddress_revisionsUnknown_bothAreUsable)
{
    list("a", 0);
    list("b", 0);

    EXPECT_EQ(availability("a", 0), EndpointAvailability::Usable);
    EXPECT_EQ(availability("b", 0), EndpointAvailability::Usable);
}
