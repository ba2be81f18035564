#include "base/failure.h"
#include "callrate.h"
#include "faultplan.h"
#include "instancelist.h"
#include "objecttable.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

namespace
{

Instant at(int seconds)
{
    return Instant(std::chrono::seconds(seconds));
}

std::string instance(const std::string &state)
{
    return R"({"name":"i1","role":"entry","address":"a","zone":"z","region":"r","pool":"","state":")" + state + "\"}";
}

}

TEST(ObjectTableTest, readOfThePast_givesWhatStoodThen)
{
    ObjectTable table;
    const std::uint64_t first = *table.put("a", "one", 0, at(10));
    const std::uint64_t second = *table.put("a", "two", first, at(20));
    ASSERT_TRUE(table.remove("a", second, at(30)).ok());

    EXPECT_EQ(failureCode(table.getAt("a", at(9)).status()), FailureCode::ObjectMissing);
    EXPECT_EQ(table.getAt("a", at(19))->value, "one");
    EXPECT_EQ(table.getAt("a", at(20))->value, "two");
    EXPECT_EQ(failureCode(table.getAt("a", at(30)).status()), FailureCode::ObjectMissing);
    EXPECT_EQ(table.listAt("", at(15)).nextVersion, first);
    EXPECT_EQ(table.listAt("", at(25)).objects, (std::vector<StoredObject>{{"a", "two", second}}));
}

TEST(ObjectTableTest, changesAfterVersion_giveEachObjectOnceAtItsLast)
{
    ObjectTable table;
    const std::uint64_t first = *table.put("a/1", "one", 0, at(1));
    ASSERT_TRUE(table.put("a/2", "x", 0, at(1)).ok());
    ASSERT_TRUE(table.put("b", "x", 0, at(1)).ok());
    const std::uint64_t last = *table.put("a/1", "two", first, at(2));

    const StoreChanges changes = table.changesAfter("a/", first);

    EXPECT_EQ(changes.objects, (std::vector<StoredObject>{{"a/2", "x", 2}, {"a/1", "two", last}}));
    EXPECT_EQ(changes.nextVersion, last);
    EXPECT_TRUE(table.changesAfter("a/", last).objects.empty());
}

TEST(InstanceListTest, change_fed_showsOnlyOnceItIsDue)
{
    ObjectTable table;
    InstanceList instances;
    ASSERT_TRUE(instances.feed(instance("live"), at(5)).ok());

    EXPECT_TRUE(instances.showDue(table, at(4)).empty());
    EXPECT_EQ(instances.nextDue(), at(5));
    EXPECT_EQ(instances.showDue(table, at(5)), std::vector<std::string>{"instances/i1"});
    EXPECT_TRUE(table.get("instances/i1").ok());
    EXPECT_EQ(instances.nextDue(), std::nullopt);
}

TEST(InstanceListTest, changeWithShorterLag_neverOvertakesAnEarlierOne)
{
    ObjectTable table;
    InstanceList instances;
    ASSERT_TRUE(instances.feed(instance("live"), at(10)).ok());
    ASSERT_TRUE(instances.feed(instance("leaving"), at(1)).ok());

    EXPECT_TRUE(instances.showDue(table, at(9)).empty());
    instances.showDue(table, at(10));
    EXPECT_NE(table.get("instances/i1")->value.find("leaving"), std::string::npos);
}

TEST(CallRateTest, calls_aboveTheRate_areRefusedUntilTimePasses)
{
    constexpr int kPerSecond = 10;
    CallRate rate;
    int taken = 0;
    while (rate.take(kPerSecond, at(0))) {
        ++taken;
    }

    EXPECT_EQ(taken, 5);
    EXPECT_FALSE(rate.take(kPerSecond, at(0) + std::chrono::milliseconds(99)));
    EXPECT_TRUE(rate.take(kPerSecond, at(0) + std::chrono::milliseconds(201)));
    EXPECT_TRUE(rate.take(0, at(0)));
}

TEST(FaultPlanTest, merge_ofWhatItWrites_givesTheSamePlan)
{
    FaultPlan plan;
    ASSERT_TRUE(plan.merge(R"({"away":"refused","latency_ms":5,"lose_answers":2,"lose_answer_share":0.25,
                               "stale_reads_ms":9,"silent_watches":true,"list_lag_ms":7})")
                    .ok());
    FaultPlan copy;

    ASSERT_TRUE(copy.merge(plan.toJson()).ok());
    EXPECT_EQ(copy, plan);
    EXPECT_NE(copy, FaultPlan());
}

TEST(FaultPlanTest, merge_withOneWrongMember_setsNothing)
{
    FaultPlan plan;

    EXPECT_EQ(failureCode(plan.merge(R"({"latency_ms":5,"lose_answers":"all"})")), FailureCode::InvalidRequest);
    EXPECT_EQ(plan, FaultPlan());
}
