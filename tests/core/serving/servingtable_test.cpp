#include "serving/servingtable.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class ServingTableTest : public testing::Test
{
protected:
    static ServingRoute route(const std::string &name, const std::string &prefix)
    {
        ServingRoute route;
        route.name = name;
        route.host = "shop.example";
        route.pathPrefix = prefix;
        return route;
    }

    static ServingConfiguration configuration()
    {
        ServingConfiguration configuration;
        configuration.routes = {route("all", "/"), route("orders", "/orders/"), route("blinds", "/orders/blinds/")};
        configuration.organisations = {{OrganisationId("magnolia"), {"k1", "k2"}, std::nullopt, std::nullopt}};
        return configuration;
    }

    static std::string nameOf(const ServingRoute *route)
    {
        return route ? route->name : "none";
    }

    const ServingTable table{configuration()};
};

TEST_F(ServingTableTest, findRoute_severalMatch_returnsLongestPrefix)
{
    EXPECT_EQ(nameOf(table.findRoute("shop.example", "/orders/blinds/7?x=/a/")), "blinds");
    EXPECT_EQ(nameOf(table.findRoute("shop.example", "/orders/7")), "orders");
    EXPECT_EQ(nameOf(table.findRoute("shop.example", "/orders")), "all");
}

TEST_F(ServingTableTest, findRoute_hostWithPortAndCapitals_matches)
{
    EXPECT_EQ(nameOf(table.findRoute("Shop.Example:8080", "/orders/7")), "orders");
    EXPECT_EQ(nameOf(table.findRoute("other.example", "/orders/7")), "none");
}

TEST_F(ServingTableTest, organisationOfKey_knownAndUnknownKeys_findsOnlyKnown)
{
    ASSERT_NE(table.organisationOfKey("k2"), nullptr);
    EXPECT_EQ(table.organisationOfKey("k2")->name.value(), "magnolia");
    EXPECT_EQ(table.organisationOfKey("k3"), nullptr);
    EXPECT_EQ(table.organisationOfKey(""), nullptr);
}

// Guards against an answer of a few tokens that counts as one of unknown length, and against a division by zero for
// pools whose answers have no tokens.
TEST(ServedPoolTest, eventsOf_tokens_countsBegunEvents)
{
    ServedPool pool;
    EXPECT_EQ(pool.eventsOf(100), 0);
    pool.tokensPerEvent = 7;
    EXPECT_EQ(pool.eventsOf(0), 0);
    EXPECT_EQ(pool.eventsOf(3), 1);
    EXPECT_EQ(pool.eventsOf(7), 1);
    EXPECT_EQ(pool.eventsOf(8), 2);
}
