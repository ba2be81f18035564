#include "base/failure.h"
#include "manualtaskqueue.h"
#include "membership/leaseholder.h"
#include "memoryobjectstore.h"
#include "requests/ordergate.h"
#include "routing/poolorderplanner.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class LeaseHolderTest : public testing::Test
{
protected:
    void advanceTime(Duration span)
    {
        for (Duration gone{}; gone < span; gone += 500ms) {
            m_timers.advance(500ms);
            m_tasks.runAll();
        }
    }

    VirtualTimerService m_timers;
    /// Timers of a paused process: they do not fire until the process continues.
    VirtualTimerService m_pausedTimers;
    ManualTaskQueue m_tasks;
    MemoryObjectStore m_store{m_tasks};
    LeaseHolder m_first{m_store, m_pausedTimers, "orders/drape-llm", IncarnationId("first")};
    LeaseHolder m_rival{m_store, m_timers, "orders/drape-llm", IncarnationId("rival")};
};

TEST_F(LeaseHolderTest, start_noLeaseYet_isHeldByOneProcess)
{
    m_first.start();
    m_tasks.runAll();
    m_rival.start();
    m_tasks.runAll();

    EXPECT_EQ(m_first.fence(), 1u);
    EXPECT_EQ(m_rival.fence(), std::nullopt);
}

// The lease holder is paused while it sends an order. Its rival sees the lease unchanged for ten seconds, takes it over
// and orders version 3. The first holder then continues and sends its order for version 2. An engine that ignored
// fencing numbers would go back to version 2.
TEST_F(LeaseHolderTest, fence_holderPausedAndReplaced_lateOrderIsRefusedByAgent)
{
    m_first.start();
    m_tasks.runAll();
    const EndpointOrder late{PoolId("drape-llm"), EndpointId("a"), *m_first.fence(), 1, OrderKind::SetVersion, "2"};
    m_rival.start();
    advanceTime(15s);
    ASSERT_EQ(m_rival.fence(), 2u);
    OrderGate gate;
    gate.setFence(1);

    EXPECT_TRUE(gate.admit({PoolId("drape-llm"), EndpointId("a"), 2, 1, OrderKind::SetVersion, "3"}).ok());
    EXPECT_EQ(failureCode(gate.admit(late)), FailureCode::StaleFence);

    m_pausedTimers.advance(15s);
    m_tasks.runAll();
    EXPECT_EQ(m_first.fence(), std::nullopt);
}

TEST_F(LeaseHolderTest, fence_storeUnavailable_expiresBeforeRivalCanTakeOver)
{
    m_rival.start();
    m_tasks.runAll();
    ASSERT_TRUE(m_rival.fence().has_value());
    m_store.setUnavailable(true);
    advanceTime(6s);

    EXPECT_EQ(m_rival.fence(), std::nullopt);
}

// The holder can read the store, but the answers to its writes are lost. It must not rely on what it reads: a rival
// whose writes succeed may be about to take over.
TEST_F(LeaseHolderTest, fence_renewalsNotConfirmed_isNotTrusted)
{
    m_rival.start();
    m_tasks.runAll();
    ASSERT_TRUE(m_rival.fence().has_value());
    m_store.loseAnswersOfNextWrites(100);
    advanceTime(6s);

    EXPECT_EQ(m_rival.fence(), std::nullopt);
}

TEST_F(LeaseHolderTest, fence_renewed_staysTheSame)
{
    m_rival.start();
    advanceTime(60s);

    EXPECT_EQ(m_rival.fence(), 1u);
}

// The write that acquires the lease succeeds, but its answer is lost. If that counted as a failure, the lease would
// stay unused until another process takes it over from a holder that does not know that it holds it.
TEST_F(LeaseHolderTest, start_writeAnswerLost_isHeldAfterReadingBack)
{
    m_store.loseAnswersOfNextWrites(1);
    m_rival.start();
    m_tasks.runAll();
    EXPECT_EQ(m_rival.fence(), std::nullopt);

    advanceTime(3s);
    EXPECT_EQ(m_rival.fence(), 1u);
}

TEST_F(LeaseHolderTest, release_rivalWaiting_acquiresLeaseAtNextRead)
{
    m_first.start();
    m_tasks.runAll();
    m_rival.start();
    m_tasks.runAll();
    m_first.release();
    advanceTime(3s);

    EXPECT_EQ(m_first.fence(), std::nullopt);
    EXPECT_EQ(m_rival.fence(), 2u);
}

// An agent restarted and no longer knows which fencing numbers it saw. The first order that arrives may be an old one.
TEST(OrderGateTest, admit_fenceNotKnownYet_isRefused)
{
    OrderGate gate;
    const EndpointOrder order{PoolId("p"), EndpointId("a"), 7, 1, OrderKind::LoadAdapter, "x"};
    EXPECT_EQ(failureCode(gate.admit(order)), FailureCode::StaleFence);

    gate.setFence(7);
    EXPECT_TRUE(gate.admit(order).ok());
    EXPECT_EQ(failureCode(gate.admit(order)), FailureCode::StaleFence);
}

class PoolOrderPlannerTest : public testing::Test
{
protected:
    void report(int i, const std::string &version, bool isEligible = true, bool isChanging = false)
    {
        m_planner.applyReported({EndpointId(std::to_string(i)), version, {}, isEligible, isChanging});
    }

    VirtualTimerService m_timers;
    PoolOrderPlanner m_planner{PoolId("drape-llm"), m_timers.now(), {.loadsPerSecond = 1}};
};

// Twelve endpoints get a new version. Each of them takes 30 s to load it and serves nothing meanwhile. Changing all at
// once would stop the pool and overload the store of model weights.
TEST_F(PoolOrderPlannerTest, nextOrders_rolloutToTwelveEndpoints_fewAtATimeWithinLoadRate)
{
    std::map<int, Instant> loading;
    m_planner.setDesired({"2", {}});
    for (int i = 0; i < 12; ++i) {
        report(i, "1");
    }
    Instant last{};
    for (int second = 0; second < 600 && !m_planner.isDone(); ++second) {
        m_timers.advance(1s);
        for (const EndpointOrder &order : m_planner.nextOrders(5, m_timers.now())) {
            EXPECT_GE(m_timers.now() - last, 1s);
            last = m_timers.now();
            loading[std::stoi(order.endpoint.value())] = last + 30s;
        }
        EXPECT_LE(loading.size(), 2u);
        std::erase_if(loading, [this](const auto &entry) {
            const bool isDone = entry.second <= m_timers.now();
            report(entry.first, isDone ? "2" : "1", isDone, !isDone);
            return isDone;
        });
    }

    EXPECT_TRUE(m_planner.isDone());
}

// A zone with a third of the pool is lost during a rollout. The rollout must not take more endpoints out of service
// until the zone is back.
TEST_F(PoolOrderPlannerTest, nextOrders_thirdOfThePoolLostDuringRollout_waitsUntilItIsBack)
{
    m_planner.setDesired({"2", {}});
    for (int i = 0; i < 12; ++i) {
        report(i, i < 4 ? "2" : "1", i >= 4);
    }
    m_timers.advance(10s);
    EXPECT_TRUE(m_planner.nextOrders(1, m_timers.now()).empty());

    for (int i = 0; i < 4; ++i) {
        report(i, "2");
    }
    EXPECT_EQ(m_planner.nextOrders(1, m_timers.now()).size(), 1u);
}

// The lease moves to another process while two endpoints carry out orders of the earlier holder. The new holder knows
// of these orders only from the agents' reports.
TEST_F(PoolOrderPlannerTest, nextOrders_ordersOfEarlierHolderUnderWay_returnsNone)
{
    m_planner.setDesired({"2", {}});
    for (int i = 0; i < 12; ++i) {
        report(i, "1", i >= 2, i < 2);
    }
    EXPECT_TRUE(m_planner.nextOrders(2, m_timers.now()).empty());
    m_timers.advance(10s);
    EXPECT_TRUE(m_planner.nextOrders(2, m_timers.now()).empty());
}

TEST_F(PoolOrderPlannerTest, nextOrders_adaptersDiffer_unloadsBeforeLoading)
{
    m_planner.setDesired({"", {"blinds"}});
    m_planner.applyReported({EndpointId("e"), "1", {"curtains"}});
    m_timers.advance(1s);
    std::vector<EndpointOrder> orders = m_planner.nextOrders(1, m_timers.now());
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders[0].kind, OrderKind::UnloadAdapter);
    EXPECT_TRUE(m_planner.nextOrders(1, m_timers.now()).empty());

    m_planner.applyReported({EndpointId("e"), "1", {}});
    orders = m_planner.nextOrders(1, m_timers.now());
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders[0].kind, OrderKind::LoadAdapter);
    m_planner.noteFailed(EndpointId("e"), m_timers.now());
    m_timers.advance(9s);
    EXPECT_TRUE(m_planner.nextOrders(1, m_timers.now()).empty());
    m_timers.advance(1s);
    EXPECT_EQ(m_planner.nextOrders(1, m_timers.now()).size(), 1u);
}
