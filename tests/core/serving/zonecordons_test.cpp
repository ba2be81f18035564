#include "serving/zonecordons.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class ZoneCordonsTest : public testing::Test
{
protected:
    ZoneCordons cordons;
};

// Guards against a zone that stays closed for ever, because its opening fell into history that the store dropped.
TEST_F(ZoneCordonsTest, wholeList_withoutAClosedZone_opensIt)
{
    cordons.replaceAll({"a", "b"});
    cordons.replaceAll({"b"});
    EXPECT_FALSE(cordons.isClosed("a"));
    EXPECT_TRUE(cordons.isClosed("b"));
}

// Guards against a zone that is sent calls again, because its order fell into history that the store dropped.
TEST_F(ZoneCordonsTest, wholeList_withAZoneNotHeardOf_closesIt)
{
    cordons.replaceAll({});
    EXPECT_TRUE(cordons.isKnown());
    cordons.replaceAll({"c"});
    EXPECT_TRUE(cordons.isClosed("c"));
}

TEST_F(ZoneCordonsTest, ordersAndOpenings_thatComeTwice_changeNothingMore)
{
    cordons.close("a");
    cordons.close("a");
    EXPECT_EQ(cordons.closedZones(), std::vector<std::string>{"a"});
    cordons.open("a");
    cordons.open("a");
    EXPECT_TRUE(cordons.closedZones().empty());
}

// Guards against calls sent into a closed zone by a process that has just started.
TEST_F(ZoneCordonsTest, beforeTheFirstList_nothingIsKnown)
{
    EXPECT_FALSE(cordons.isKnown());
}
