#include "base/failure.h"
#include "limits/fairqueue.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <map>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class FairQueueTest : public testing::Test
{
protected:
    QueuedRequest request(const std::string &organisation, double share = 1, int priority = 0, std::int64_t cost = 100,
                          Duration timeToDeadline = 3600s)
    {
        const RequestId id(organisation + "-" + std::to_string(++m_count));
        return {id, OrganisationId(organisation), priority, share, cost, m_timers.now() + timeToDeadline};
    }

    absl::Status enqueue(const QueuedRequest &request)
    {
        return m_queue.enqueue(request, m_timers.now());
    }

    std::string nextOrganisation()
    {
        const std::optional<QueuedRequest> next = m_queue.next(m_timers.now());
        return next ? next->organisation.value() : "";
    }

    /// Serves a backlog at ten requests per second, so that the queue knows its rate.
    void learnRate()
    {
        for (int i = 0; i < 21; ++i) {
            ASSERT_TRUE(enqueue(request("warm-up")).ok());
        }
        for (int i = 0; i < 21; ++i) {
            m_timers.advance(100ms);
            nextOrganisation();
        }
    }

    int m_count = 0;
    VirtualTimerService m_timers;
    FairQueue m_queue{{.length = 100}};
};

TEST_F(FairQueueTest, next_higherPriority_goesFirst)
{
    ASSERT_TRUE(enqueue(request("low")).ok());
    ASSERT_TRUE(enqueue(request("high", 1, 5)).ok());

    EXPECT_EQ(nextOrganisation(), "high");
    EXPECT_EQ(nextOrganisation(), "low");
    EXPECT_EQ(nextOrganisation(), "");
}

TEST_F(FairQueueTest, next_sameOrganisation_servesInOrderOfArrival)
{
    const QueuedRequest first = request("a");
    const QueuedRequest second = request("a");
    ASSERT_TRUE(enqueue(first).ok());
    ASSERT_TRUE(enqueue(second).ok());

    EXPECT_EQ(m_queue.next(m_timers.now()), first);
    EXPECT_EQ(m_queue.next(m_timers.now()), second);
}

// Guards against an organisation that gets more than its share by sending more. Three organisations with shares of
// 3:2:1 have backlogs. The one with the smallest share sends ten times as much as the others, in requests of another
// size. Served in order of arrival, it would get nearly everything.
TEST_F(FairQueueTest, next_greedyOrganisation_servesSharesWithinATenth)
{
    const std::map<std::string, double> shares{{"big", 3}, {"middle", 2}, {"greedy", 1}};
    const std::map<std::string, std::int64_t> costs{{"big", 200}, {"middle", 70}, {"greedy", 400}};
    SeededRandom random;
    std::map<std::string, double> served;
    double total = 0;
    for (int i = 0; i < 3000; ++i) {
        m_timers.advance(10ms);
        for (int k = 0; k < 10; ++k) {
            const bool isDue = k == 0;
            for (const auto &[name, share] : shares) {
                const auto cost = costs.at(name) / 2 + static_cast<std::int64_t>(random.below(costs.at(name)));
                if (isDue || name == "greedy") {
                    m_queue.enqueue(request(name, share, 0, cost), m_timers.now()).IgnoreError();
                    m_queue.expire(m_timers.now());
                }
            }
        }
        const std::optional<QueuedRequest> next = m_queue.next(m_timers.now());
        ASSERT_TRUE(next);
        served[next->organisation.value()] += static_cast<double>(next->cost);
        total += static_cast<double>(next->cost);
    }

    for (const auto &[name, share] : shares) {
        EXPECT_NEAR(served[name] / total, share / 6, share / 6 / 10) << name;
    }
}

// Guards against credit for idle time. If an organisation that returns after being idle were credited with its unused
// share, the others would get nothing until it had caught up. At most one request of credit is allowed.
TEST_F(FairQueueTest, next_organisationWasIdle_getsNoCredit)
{
    for (int i = 0; i < 60; ++i) {
        ASSERT_TRUE(enqueue(request("busy")).ok());
    }
    for (int i = 0; i < 50; ++i) {
        nextOrganisation();
    }
    for (int i = 0; i < 10; ++i) {
        ASSERT_TRUE(enqueue(request("back")).ok());
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 8; ++i) {
        ++served[nextOrganisation()];
    }

    EXPECT_GE(served["busy"], 3);
}

// Guards against a low priority that takes the last free slot of twenty: the next request of a high priority would have
// to wait until that run ends.
TEST_F(FairQueueTest, next_lastOwnSlot_isReservedForHigherPriorityInUse)
{
    const PoolSlots lastSlot{1, 20};
    ASSERT_TRUE(enqueue(request("low")).ok());
    ASSERT_TRUE(enqueue(request("high", 1, 5)).ok());
    EXPECT_EQ(m_queue.next(m_timers.now(), lastSlot)->organisation.value(), "high");
    EXPECT_FALSE(m_queue.next(m_timers.now(), lastSlot).has_value());
    EXPECT_TRUE(m_queue.next(m_timers.now(), {2, 20}).has_value());

    ASSERT_TRUE(enqueue(request("low")).ok());
    m_timers.advance(10s);
    EXPECT_TRUE(m_queue.next(m_timers.now(), lastSlot).has_value());
    EXPECT_FALSE(m_queue.next(m_timers.now(), {0, 20}).has_value());
}

// Guards against requests that wait in vain. Ten requests per second are served and fifty wait, so a request with a
// deadline in two seconds won't be served in time. It is refused at once, with the time in which the backlog is worked
// off.
TEST_F(FairQueueTest, enqueue_deadlineOutOfReach_refusesAtOnceWithRetryAfter)
{
    learnRate();
    for (int i = 0; i < 50; ++i) {
        ASSERT_TRUE(enqueue(request("a")).ok());
    }
    const absl::Status status = enqueue(request("a", 1, 0, 100, 2s));

    EXPECT_EQ(failureCode(status), FailureCode::Overloaded);
    EXPECT_EQ(outcomeOf(status), RunOutcome::NotRun);
    EXPECT_GE(retryAfterOf(status), 4000ms);
    EXPECT_LE(retryAfterOf(status), 6000ms);
    EXPECT_TRUE(enqueue(request("a", 1, 5, 100, 2s)).ok());
    EXPECT_TRUE(enqueue(request("other", 1, 0, 100, 2s)).ok());
}

// Guards against refusals that come only at the deadline. Requests wait with enough time, then all endpoints restart
// and nothing is served. Requests that can no longer be served in time are refused as soon as that is known.
TEST_F(FairQueueTest, expire_servingStops_refusesLongBeforeDeadline)
{
    learnRate();
    for (int i = 0; i < 50; ++i) {
        ASSERT_TRUE(enqueue(request("a", 1, 0, 100, 10s)).ok());
    }
    EXPECT_TRUE(m_queue.expire(m_timers.now()).empty());

    std::size_t refused = 0;
    for (int i = 0; i < 100; ++i) {
        m_timers.advance(50ms);
        for (const QueueRefusal &refusal : m_queue.expire(m_timers.now())) {
            ++refused;
            EXPECT_EQ(failureCode(refusal.status), FailureCode::Overloaded);
            EXPECT_TRUE(retryAfterOf(refusal.status).has_value());
        }
    }
    // Five of the ten seconds have passed.
    EXPECT_GT(refused, 25u);
    EXPECT_EQ(m_queue.size() + refused, 50u);
}

TEST_F(FairQueueTest, next_deadlinePassed_isRefusedAndNotServed)
{
    const QueuedRequest late = request("a", 1, 0, 100, 10ms);
    ASSERT_TRUE(enqueue(late).ok());
    m_timers.advance(20ms);

    EXPECT_EQ(nextOrganisation(), "");
    const std::vector<QueueRefusal> refusals = m_queue.expire(m_timers.now());
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().request, late.request);
}

// Guards against evicting the wrong request. The queue is full with requests of one organisation. A request of another
// organisation evicts the newest of these, not the oldest, which is served next. A low priority is evicted before a
// high one.
TEST_F(FairQueueTest, enqueue_queueFull_evictsNewestOfLargestBacklog)
{
    std::vector<QueuedRequest> greedy;
    for (int i = 0; i < 100; ++i) {
        greedy.push_back(request("greedy"));
        ASSERT_TRUE(enqueue(greedy.back()).ok());
    }
    ASSERT_TRUE(enqueue(request("modest")).ok());

    const std::vector<QueueRefusal> refusals = m_queue.expire(m_timers.now());
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals.front().request, greedy.back().request);
    EXPECT_EQ(failureCode(enqueue(request("greedy"))), FailureCode::Overloaded);
    EXPECT_EQ(failureCode(enqueue(request("lowest", 1, -1))), FailureCode::Overloaded);
    EXPECT_TRUE(enqueue(request("high", 1, 1)).ok());
}

TEST_F(FairQueueTest, remove_callerDisconnected_isNotServed)
{
    const QueuedRequest cancelled = request("a");
    ASSERT_TRUE(enqueue(cancelled).ok());

    EXPECT_TRUE(m_queue.remove(cancelled.request, m_timers.now()));
    EXPECT_FALSE(m_queue.remove(cancelled.request, m_timers.now()));
    EXPECT_EQ(nextOrganisation(), "");
}

// Guards against an organisation that gets too little because its requests use only a tenth of their worst case, by
// which costs are counted: without a correction it would get a tenth of its share.
TEST_F(FairQueueTest, noteActualCost_lessThanEstimated_servesOrganisationMore)
{
    std::map<std::string, int> served;
    for (int i = 0; i < 40; ++i) {
        ASSERT_TRUE(enqueue(request("short")).ok());
        ASSERT_TRUE(enqueue(request("long")).ok());
    }
    for (int i = 0; i < 44; ++i) {
        const std::string name = nextOrganisation();
        ++served[name];
        if (name == "short") {
            m_queue.noteActualCost(OrganisationId("short"), 0, 100, 10);
        }
    }

    EXPECT_GE(served["short"], 39);
}

// Guards against a queue that accepts everything under overload: with three times the capacity offered and deadlines of
// two seconds, it would serve each request just after its deadline, which is of use to nobody.
TEST_F(FairQueueTest, enqueue_threeTimesTheCapacity_servesAtFullRateInTime)
{
    int served = 0;
    Duration longestHeld{};
    std::map<RequestId, Instant> arrivals;
    for (int i = 0; i < 6000; ++i) {
        m_timers.advance(10ms);
        const QueuedRequest offered = request("a", 1, 0, 100, 2s);
        arrivals[offered.request] = m_timers.now();
        enqueue(offered).IgnoreError();
        for (const QueueRefusal &refusal : m_queue.expire(m_timers.now())) {
            longestHeld = std::max(longestHeld, m_timers.now() - arrivals.at(refusal.request));
        }
        if (i % 3 == 0) {
            const std::optional<QueuedRequest> next = m_queue.next(m_timers.now());
            served += next && m_timers.now() <= next->deadline ? 1 : 0;
        }
    }

    EXPECT_GE(served, 1960);
    EXPECT_LE(longestHeld, 1s);
}
