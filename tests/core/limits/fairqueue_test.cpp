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
                          Duration patience = 3600s)
    {
        const RequestId id(organisation + "-" + std::to_string(++m_count));
        return {id, OrganisationId(organisation), priority, share, cost, m_timers.now() + patience};
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

    /// Serves a backlog at ten requests a second, so that the queue knows its rate.
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

// Three organisations with shares 3:2:1 are all behind, and the one with the least share offers ten times as much as
// the others, in requests of other sizes. First come, first served would give it nearly everything.
TEST_F(FairQueueTest, next_greedyOrganisation_sharesMetWithinATenth)
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

// An organisation that was idle comes back. What it did not use while it was idle is no credit, but for one request:
// else it would shut the others out until it had caught up.
TEST_F(FairQueueTest, next_organisationWasIdle_hasNoCredit)
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

// One slot of twenty is free. Given to a low priority, it would be gone for as long as a run takes when the next
// request of a high priority comes.
TEST_F(FairQueueTest, next_lastOwnSlot_isKeptForHigherPriorityInUse)
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

// Ten requests a second are served and fifty wait. A request that has two seconds will not be served in time; kept, it
// would wait for its deadline in vain. It is refused at once, with the time after which the backlog is gone.
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

// Requests wait with time enough, and then the service stops: all endpoints restart. What can't be served in time any
// more is answered as soon as that shows, and not when its deadline comes.
TEST_F(FairQueueTest, expire_serviceStops_refusesLongBeforeDeadline)
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

// The queue is full with the requests of one organisation. Another's request pushes out the newest of those, not the
// oldest, which has waited and will be served next; and a low priority gives way before a high one.
TEST_F(FairQueueTest, enqueue_queueFull_newestOfTheGreediestGivesWay)
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

TEST_F(FairQueueTest, remove_callerWentAway_isNotServed)
{
    const QueuedRequest gone = request("a");
    ASSERT_TRUE(enqueue(gone).ok());

    EXPECT_TRUE(m_queue.remove(gone.request, m_timers.now()));
    EXPECT_FALSE(m_queue.remove(gone.request, m_timers.now()));
    EXPECT_EQ(nextOrganisation(), "");
}

// Costs are counted by the worst case, and one organisation's requests use a tenth of it. Without a correction it would
// get a tenth of its share.
TEST_F(FairQueueTest, noteActualCost_worstCaseNotUsed_organisationIsServedMore)
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

// Three times the capacity is offered, with deadlines of two seconds. A queue that kept everything would serve each
// request just after its deadline, and nothing would be of use to anybody.
TEST_F(FairQueueTest, overload_threeTimesTheCapacity_servesAtFullRateInTime)
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
