#include "serving/affinityranking.h"

#include "base/rendezvous.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// The order of rendezvous hashing, kept by key.
class AffinityRankingTest : public testing::Test
{
protected:
    EndpointSlot list(int n, const std::string &pool = "llm")
    {
        EndpointListing listing;
        listing.id = EndpointId("engine-" + std::to_string(n));
        listing.pool = PoolId(pool);
        listing.address = "10.0.0." + std::to_string(n) + ":1";
        listing.slots = 64;
        registry.list(listing, Instant());
        return *registry.slotOf(listing.id);
    }

    EndpointRegistry registry;
    AffinityRanking ranking{registry};
    const PoolId pool{"llm"};
};

// Guards against gateways that select different endpoints for a prefix: the order is that of the scores, and has no
// endpoint of another pool.
TEST_F(AffinityRankingTest, order_isThatOfScores)
{
    for (int n = 0; n < 40; ++n) {
        list(n, n % 2 == 0 ? "llm" : "other");
    }
    const AffinityRanking::Ranked ranked = ranking.first(pool, 42);
    ASSERT_EQ(ranked.size(), AffinityRanking::kRanked);
    for (std::size_t n = 1; n < ranked.size(); ++n) {
        EXPECT_GT(rendezvousScore(registry.at(ranked[n - 1]).hash, 42),
                  rendezvousScore(registry.at(ranked[n]).hash, 42));
    }
    for (const EndpointSlot slot : registry.pool(pool)) {
        EXPECT_LE(rendezvousScore(registry.at(slot).hash, 42), rendezvousScore(registry.at(ranked.front()).hash, 42));
    }
}

// Guards against a kept order that outlives a change of the pool: endpoints that are gone would be looked up.
TEST_F(AffinityRankingTest, poolChanged_orderFollows)
{
    const EndpointSlot first = list(0);
    EXPECT_EQ(ranking.first(pool, 42).size(), 1U);
    list(1);
    EXPECT_EQ(ranking.first(pool, 42).size(), 2U);
    registry.unlist(EndpointId("engine-0"), Instant());
    ASSERT_EQ(registry.forgetGone(Instant() + std::chrono::minutes(1)), std::vector<EndpointSlot>{first});
    EXPECT_EQ(ranking.first(pool, 42).size(), 1U);
    EXPECT_TRUE(ranking.first(PoolId("none"), 42).empty());
}

// Load: prefixes that are used once. Their orders must not accumulate.
TEST_F(AffinityRankingTest, manyKeys_ordersAreStillRight)
{
    const EndpointSlot only = list(0);
    for (std::uint64_t key = 0; key < 3 * AffinityRanking::kMaximumKeys; ++key) {
        ASSERT_EQ(ranking.first(pool, key).front(), only);
    }
}
