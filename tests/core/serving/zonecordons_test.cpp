#include "serving/zonecordons.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class ZoneCordonsTest : public testing::Test
{
protected:
    ZoneCordons cordons;
};

// Guards against a zone that stays closed for ever, because the withdrawal of its order was missed when the store
// dropped its history.
TEST_F(ZoneCordonsTest, fullList_withoutClosedZone_opensIt)
{
    cordons.replaceAll({"a", "b"});
    cordons.replaceAll({"b"});
    EXPECT_FALSE(cordons.isClosed("a"));
    EXPECT_TRUE(cordons.isClosed("b"));
}

// Guards against a closed zone that gets calls, because its order was missed when the store dropped its history.
TEST_F(ZoneCordonsTest, fullList_withUnknownZone_closesIt)
{
    cordons.replaceAll({});
    EXPECT_TRUE(cordons.isKnown());
    cordons.replaceAll({"c"});
    EXPECT_TRUE(cordons.isClosed("c"));
}

TEST_F(ZoneCordonsTest, orders_receivedTwice_changeNothingMore)
{
    cordons.close("a");
    cordons.close("a");
    EXPECT_EQ(cordons.closedZones(), std::vector<std::string>{"a"});
    cordons.open("a");
    cordons.open("a");
    EXPECT_TRUE(cordons.closedZones().empty());
}

// Guards against calls to a closed zone from a process that has just started.
TEST_F(ZoneCordonsTest, cordons_beforeFirstList_areNotKnown)
{
    EXPECT_FALSE(cordons.isKnown());
}
