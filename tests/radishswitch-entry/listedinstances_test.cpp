#include "listedinstances.h"

#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "virtualtimerservice.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace RadishSwitch;
using testing::ElementsAre;
using testing::UnorderedElementsAre;

class ListedInstancesTest : public testing::Test
{
protected:
    void put(const std::string &name, const std::string &value)
    {
        const std::string key = "instances/" + name;
        const auto it = store.objects().find(key);
        store.put(key, value, it == store.objects().end() ? 0 : it->second.version, [](const auto &) {});
        tasks.runAll();
    }

    void putAgent(const std::string &name)
    {
        put(name, R"({"name":")" + name + R"(","role":"agent","address":")" + name + R"(:1","pool":"engines"})");
    }

    void remove(const std::string &name)
    {
        const std::string key = "instances/" + name;
        store.remove(key, store.objects().at(key).version, [](const auto &) {});
        tasks.runAll();
    }

    void advance(Duration span)
    {
        timers.advance(span);
        tasks.runAll();
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    MemoryObjectStore store{tasks};
    ListedInstances instances{store, timers};
};

TEST_F(ListedInstancesTest, start_listsWhatIsThereAndFollowsChanges)
{
    int published = 0;
    instances.subscribe([&published](const auto &) {
        ++published;
    });
    putAgent("agent-1");
    put("entry-1", R"({"name":"entry-1","role":"entry","address":"e:1","zone":"z"})");
    put("broken", "{");
    put("nameless", R"({"address":"x:1"})");
    instances.start();
    tasks.runAll();
    ASSERT_EQ(instances.present().size(), 2u);
    EXPECT_EQ(instances.present()[1].role, InstanceRole::Entry);
    EXPECT_EQ(instances.present()[1].zone, "z");
    EXPECT_THAT(instances.agentAddresses(), ElementsAre("agent-1:1"));

    putAgent("agent-2");
    put("agent-1", R"({"name":"agent-1","role":"agent","address":"agent-1:1","state":"leaving"})");
    EXPECT_THAT(instances.agentAddresses(), ElementsAre("agent-1:1", "agent-2:1"));
    EXPECT_TRUE(instances.present()[0].isLeaving);
    EXPECT_EQ(published, 3);
}

// The store goes away while the list is watched. When it is back the list is taken anew, so that what was removed
// meanwhile is seen, which a watch from an old version might never tell.
TEST_F(ListedInstancesTest, watch_fails_listsAgain)
{
    putAgent("agent-1");
    putAgent("agent-2");
    instances.start();
    tasks.runAll();

    // The change wakes the watch; the next one finds the store away.
    store.put("instances/agent-3", R"({"name":"agent-3","role":"agent","address":"agent-3:1"})", 0,
              [](const auto &) {});
    store.remove("instances/agent-2", store.objects().at("instances/agent-2").version, [](const auto &) {});
    store.setUnavailable(true);
    tasks.runAll();
    advance(std::chrono::seconds(2));
    EXPECT_EQ(instances.present().size(), 3u);

    store.setUnavailable(false);
    advance(std::chrono::milliseconds(500));
    ASSERT_EQ(instances.present().size(), 2u);
    EXPECT_EQ(instances.present()[1].name, "agent-3");
}

// An agent leaves the list while it may still end runs, or while only the list is wrong. For an hour its runs are
// asked for there; then it is forgotten. One that comes back is listed once.
TEST_F(ListedInstancesTest, agentAddresses_agentGone_isRememberedForAnHour)
{
    putAgent("agent-1");
    instances.start();
    tasks.runAll();
    remove("agent-1");
    put("agent-1b", R"({"name":"agent-1b","role":"agent","address":"b:1"})");
    put("agent-1", "{}");
    EXPECT_THAT(instances.agentAddresses(), UnorderedElementsAre("b:1", "agent-1:1"));
    advance(std::chrono::hours(1) - std::chrono::seconds(1));
    EXPECT_THAT(instances.agentAddresses(), UnorderedElementsAre("b:1", "agent-1:1"));
    advance(std::chrono::seconds(1));
    EXPECT_THAT(instances.agentAddresses(), ElementsAre("b:1"));

    putAgent("agent-1");
    EXPECT_THAT(instances.agentAddresses(), UnorderedElementsAre("b:1", "agent-1:1"));
}
