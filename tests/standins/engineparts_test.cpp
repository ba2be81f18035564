#include "base/failure.h"
#include "batchscheduler.h"
#include "enginefaults.h"
#include "engineorders.h"
#include "prefixcache.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace RadishSwitch;
using testing::ElementsAre;

class BatchSchedulerTest : public testing::Test
{
protected:
    BatchScheduler::Ticket enter(int priority, const std::string &name)
    {
        return m_scheduler.enter(priority, 10, [this, name] {
            m_admitted.push_back(name);
        });
    }

    BatchScheduler m_scheduler{1};
    std::vector<std::string> m_admitted;
};

TEST_F(BatchSchedulerTest, runsWaiting_slotFreed_highestPriorityThenFirstComes)
{
    const auto first = enter(0, "first");
    enter(0, "low");
    const auto high = enter(5, "high");
    enter(0, "lower");
    EXPECT_EQ(m_scheduler.load(), (BatchLoad{1, 3, 30}));

    m_scheduler.leave(first);
    m_scheduler.leave(high);

    EXPECT_THAT(m_admitted, ElementsAre("first", "high", "low"));
    EXPECT_EQ(m_scheduler.load(), (BatchLoad{1, 1, 10}));
}

TEST_F(BatchSchedulerTest, waitingRun_leaves_isNeverAdmitted)
{
    const auto first = enter(0, "first");
    const auto waiting = enter(0, "waiting");

    m_scheduler.leave(waiting);
    m_scheduler.leave(first);

    EXPECT_THAT(m_admitted, ElementsAre("first"));
    EXPECT_EQ(m_scheduler.load(), BatchLoad());
}

TEST(PrefixCacheTest, moreBlocksThanRoom_stored_dropsTheTailOfTheOldest)
{
    PrefixCache cache(3);
    cache.store({1, 2});
    cache.store({3, 4});

    EXPECT_EQ(cache.cachedBlocks({1, 2}), 1);
    EXPECT_EQ(cache.cachedBlocks({3, 4}), 2);
}

TEST(PrefixCacheTest, lostEvents_read_leaveGapsInTheNumbers)
{
    PrefixCache cache(2);
    cache.store({1});
    cache.store({2});
    cache.store({3});

    const auto all = cache.eventsSince(0, Duration::zero(), 0);
    const auto some = cache.eventsSince(0, Duration::zero(), 2);

    ASSERT_EQ(all.size(), 4U);
    EXPECT_FALSE(all.back().isStored);
    EXPECT_THAT(all.back().hashes, ElementsAre(1));
    ASSERT_EQ(some.size(), 2U);
    EXPECT_EQ(some.back().sequence, 3U);
    EXPECT_TRUE(cache.eventsSince(0, std::chrono::hours(1), 0).empty());
}

TEST(EngineOrdersTest, lateOrderOfOldHolder_fenceChecked_isRefused)
{
    EngineSettings settings;
    settings.isFenceChecked = true;
    EngineOrders checking(settings);
    settings.isFenceChecked = false;
    EngineOrders trusting(settings);
    const std::string late = R"({"fence":1,"action":"unload_model","name":"standin"})";

    for (EngineOrders *orders : {&checking, &trusting}) {
        EXPECT_TRUE(orders->execute(R"({"fence":2,"action":"set_version","name":"2"})").ok());
    }

    EXPECT_EQ(failureCode(checking.execute(late)), FailureCode::StaleFence);
    EXPECT_THAT(checking.configuration().models, ElementsAre("standin"));
    EXPECT_TRUE(trusting.execute(late).ok());
    EXPECT_TRUE(trusting.configuration().models.empty());
}

TEST(EngineFaultsTest, faults_clearedAndSet_keepOnlyTheNew)
{
    EngineFaults faults;
    faults.isRefusing = true;

    const auto changed = changedFaults(faults, R"({"clear":true,"reset_after_tokens":3,"load_lag_ms":50})");

    ASSERT_TRUE(changed.ok());
    EXPECT_FALSE(changed->isRefusing);
    EXPECT_EQ(changed->resetAfterTokens, 3);
    EXPECT_EQ(changed->loadLag, Duration(std::chrono::milliseconds(50)));
    EXPECT_FALSE(changedFaults(faults, R"({"no_such_fault":1})").ok());
    EXPECT_FALSE(changedFaults(faults, R"({"slow":"very"})").ok());
}
