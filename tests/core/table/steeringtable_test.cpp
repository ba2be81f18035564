#include "table/steeringtable.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

namespace
{

RouteRow route(const std::string &name, const std::string &organisation, const std::string &model,
               const std::string &pool, std::int64_t weight)
{
    RouteRow row;
    row.name = name;
    row.organisation = OrganisationId(organisation);
    row.model = model;
    row.pool = PoolId(pool);
    row.weight = weight;
    return row;
}

class SteeringTableTest : public testing::Test
{
protected:
    static TableRows rows()
    {
        TableRows rows;
        OrganisationRow open;
        open.name = OrganisationId("open");
        open.keySha256 = {std::string(64, 'a'), std::string(64, 'b')};
        rows.put(open);
        OrganisationRow closed;
        closed.name = OrganisationId("closed");
        closed.isEnabled = false;
        closed.keySha256 = {std::string(64, 'c')};
        rows.put(closed);
        PoolRow chat;
        chat.name = PoolId("chat");
        rows.put(chat);
        chat.name = PoolId("other");
        rows.put(chat);
        PoolRow service;
        service.name = PoolId("shop");
        service.kind = PoolKind::Service;
        service.nonIdempotent = {{"POST", "/orders"}};
        rows.put(service);
        rows.put(route("any-a", "*", "patter", "chat", 30));
        rows.put(route("any-b", "*", "patter", "other", 10));
        rows.put(route("own", "open", "patter", "other", 1));
        rows.put(route("off", "open", "shop", "chat", 0));
        rows.put(route("shop", "*", "shop", "shop", 1));
        return rows;
    }

    SteeringTable m_table{3, rows()};
};

}

TEST_F(SteeringTableTest, key_ofAnOrganisation_isFoundUnlessItIsDisabled)
{
    EXPECT_EQ(m_table.organisationOfKey(std::string(64, 'b'))->name.value(), "open");
    EXPECT_EQ(m_table.organisationOfKey(std::string(64, 'c')), nullptr);
    EXPECT_EQ(m_table.organisationOfKey(""), nullptr);
}

TEST_F(SteeringTableTest, routes_ofEveryOrganisation_areDrawnByWeight)
{
    const OrganisationId other("closed");

    EXPECT_EQ(m_table.routeForModel(other, "patter", 0.0)->name, "any-a");
    EXPECT_EQ(m_table.routeForModel(other, "patter", 0.74)->name, "any-a");
    EXPECT_EQ(m_table.routeForModel(other, "patter", 0.76)->name, "any-b");
    EXPECT_EQ(m_table.routeForModel(other, "patter", 0.999999)->name, "any-b");
    EXPECT_EQ(m_table.routeForModel(other, "unknown", 0.5), nullptr);
}

TEST_F(SteeringTableTest, routes_ofTheOrganisationsOwn_goBeforeThoseOfEvery)
{
    EXPECT_EQ(m_table.routeForModel(OrganisationId("open"), "patter", 0.1)->name, "own");
}

TEST_F(SteeringTableTest, routes_toModelsAndServices_doNotMix)
{
    EXPECT_EQ(m_table.routeForService(OrganisationId("open"), "shop", 0.5)->name, "shop");
    EXPECT_EQ(m_table.routeForModel(OrganisationId("open"), "shop", 0.5), nullptr);
    EXPECT_EQ(m_table.routeForService(OrganisationId("open"), "patter", 0.5), nullptr);
    EXPECT_EQ(m_table.modelsOf(OrganisationId("open")), std::vector<std::string>{"patter"});
}

TEST_F(SteeringTableTest, nonIdempotentCall_spelledOtherwise_isStillOne)
{
    // A caller, or a proxy on its way, writes the same path in another form. Taken for another call it would be
    // retried, and a blind would be cut twice.
    const PoolRow *shop = m_table.pool(PoolId("shop"));

    for (const char *path : {"/orders", "/orders/", "/orders/7?x=1", "//orders", "/./orders", "/%6Frders",
                             "/a/../orders", "/%2e/orders", "/orders%3Fx", "/orders;v=1"}) {
        EXPECT_TRUE(shop->isNonIdempotent("POST", path)) << path;
        EXPECT_TRUE(shop->isNonIdempotent("post", path)) << path;
        EXPECT_FALSE(shop->isNonIdempotent("GET", path)) << path;
    }
    EXPECT_FALSE(shop->isNonIdempotent("POST", "/basket/orders"));
    EXPECT_FALSE(shop->isNonIdempotent("POST", "/%zz"));
}
