#include "serving/coalescingstore.h"

#include "manualtaskqueue.h"
#include "memoryobjectstore.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class CoalescingStoreTest : public testing::Test
{
protected:
    ObjectStore::Callback<StoreChanges> record()
    {
        return [this](const absl::StatusOr<StoreChanges> &changes) {
            answers.push_back(changes);
        };
    }

    void write(const std::string &key, std::uint64_t version)
    {
        platform.put(key, "{}", version, [](const absl::StatusOr<std::uint64_t> &) {});
        tasks.runAll();
    }

    ManualTaskQueue tasks;
    MemoryObjectStore platform{tasks};
    CoalescingStore store{platform};
    std::vector<absl::StatusOr<StoreChanges>> answers;
};

TEST_F(CoalescingStoreTest, watch_sameFromThirtyGateways_sendsOneCallAndAnswersAll)
{
    // Guards against a home that sends the same watch many times. Thirty gateways that are cut off from the store watch
    // it through one home. The store charges for each call and refuses calls above its rate, and all thirty gateways
    // want the same changes.
    constexpr std::size_t kGateways = 30;
    write("config/main", 0);
    for (std::size_t n = 0; n < kGateways; ++n) {
        store.watch("config/", 1, record());
    }
    write("config/main", 1);

    EXPECT_EQ(platform.calls(), 3);
    ASSERT_EQ(answers.size(), kGateways);
    for (const absl::StatusOr<StoreChanges> &it : answers) {
        ASSERT_TRUE(it.ok());
        ASSERT_EQ(it->objects.size(), 1u);
        EXPECT_EQ(it->objects.front().key, "config/main");
    }
}

TEST_F(CoalescingStoreTest, listAndWatch_differentCalls_areEachSent)
{
    store.list("config/", record());
    store.list("servers/", record());
    store.watch("config/", 7, record());

    EXPECT_EQ(platform.calls(), 3);
}

TEST_F(CoalescingStoreTest, list_afterAnswer_isSentAgain)
{
    store.list("config/", record());
    tasks.runAll();
    store.list("config/", record());
    tasks.runAll();

    EXPECT_EQ(platform.calls(), 2);
    EXPECT_EQ(answers.size(), 2u);
}

TEST_F(CoalescingStoreTest, list_storeUnavailable_failsForAllWaiters)
{
    platform.setUnavailable(true);
    store.list("config/", record());
    store.list("config/", record());
    tasks.runAll();

    ASSERT_EQ(answers.size(), 2u);
    EXPECT_FALSE(answers[0].ok());
    EXPECT_FALSE(answers[1].ok());
}
