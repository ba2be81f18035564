#include "limits/loadshedder.h"

#include <gtest/gtest.h>

#include <deque>

using namespace RadishSwitch;

namespace
{

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

}

class LoadShedderTest : public testing::Test
{
protected:
    void note(int delay)
    {
        shedder.noteDelay(delay * kMillisecond, now);
    }

    void advance(int milliseconds)
    {
        now += milliseconds * kMillisecond;
    }

    LoadShedder shedder;
    Instant now{std::chrono::seconds(100)};
};

TEST_F(LoadShedderTest, isShedding_singleLateMeasurement_acceptsRequests)
{
    // A process that was stopped for two seconds runs everything late once, and then serves at once what waited
    // meanwhile. The instance has time for new requests and need not refuse them.
    note(2000);
    EXPECT_FALSE(shedder.isShedding(now));
    advance(5);
    note(3);
    advance(300);
    note(90);

    EXPECT_FALSE(shedder.isShedding(now));
}

TEST_F(LoadShedderTest, isShedding_lateForLong_refusesUntilRecovered)
{
    note(70);
    advance(70);
    note(70);
    advance(70);
    note(70);
    EXPECT_TRUE(shedder.isShedding(now));

    note(40);
    EXPECT_TRUE(shedder.isShedding(now));
    note(20);
    EXPECT_FALSE(shedder.isShedding(now));
}

TEST_F(LoadShedderTest, isShedding_oldMeasurement_acceptsRequests)
{
    note(100);
    advance(200);
    note(100);
    ASSERT_TRUE(shedder.isShedding(now));

    advance(500);

    EXPECT_FALSE(shedder.isShedding(now));
}

TEST_F(LoadShedderTest, isDiverting_lastingOverload_divertsCallersUntilOver)
{
    for (int n = 0; n < 4; ++n) {
        shedder.noteRefused(now);
        EXPECT_FALSE(shedder.isDiverting(now));
        advance(150);
    }
    shedder.noteRefused(now);
    EXPECT_TRUE(shedder.isDiverting(now));
    advance(2900);
    EXPECT_TRUE(shedder.isDiverting(now));
    advance(200);
    EXPECT_FALSE(shedder.isDiverting(now));
    // A single refusal later starts a new overload, which may pass by itself.
    shedder.noteRefused(now);
    EXPECT_FALSE(shedder.isDiverting(now));
}

/// One processor that works off a queue of requests. Serving a request takes `kServed`, refusing it `kRefused`.
class SmallInstance
{
public:
    explicit SmallInstance(bool isShedding)
        : m_isShedding(isShedding)
    {
    }

    void offer(Instant at)
    {
        m_queue.push_back(at);
    }

    /// Works until `end`.
    void work(Instant end)
    {
        while (!m_queue.empty() && m_now < end) {
            // The measuring task is queued behind the requests that wait now.
            const std::size_t waitingCount = m_queue.size();
            const Instant passBegan = m_now;
            for (std::size_t n = 0; n < waitingCount; ++n) {
                m_shedder.noteOverdue(m_now - passBegan, m_now);
                serveFirst();
            }
            m_shedder.noteDelay(m_now - passBegan, m_now);
        }
        m_now = std::max(m_now, end);
    }

    int inTime = 0;
    int refusedInTime = 0;
    int late = 0;

private:
    static constexpr Duration kServed = std::chrono::microseconds(9500);
    static constexpr Duration kRefused = std::chrono::microseconds(900);
    static constexpr Duration kTimeout = std::chrono::milliseconds(300);

    void serveFirst()
    {
        const Instant arrived = m_queue.front();
        m_queue.pop_front();
        const bool isRefused = m_isShedding && m_shedder.isShedding(m_now);
        if (isRefused) {
            m_shedder.noteRefused(m_now);
        }
        m_now += isRefused ? kRefused : kServed;
        int &count = m_now - arrived > kTimeout ? late : isRefused ? refusedInTime : inTime;
        ++count;
    }

    const bool m_isShedding;
    LoadShedder m_shedder;
    std::deque<Instant> m_queue;
    Instant m_now{};
};

TEST_F(LoadShedderTest, isShedding_fourTimesTheCapacity_answersOrRefusesInTime)
{
    // Guards against requests that all wait too long. One caller sends 400 calls per second for six seconds to an
    // instance that can serve 105. Queued, all calls but the first thirty or so miss the 300 ms after which they are
    // worth little, and other callers wait in the same queue. A refusal costs a tenth of an answer, so refusals keep
    // the queue short: some calls are served, and the others can go elsewhere while there is time.
    const auto play = [](SmallInstance &instance) {
        constexpr int kCalls = 2400;
        constexpr Duration kGap = std::chrono::microseconds(2500);
        Instant at{};
        for (int n = 0; n < kCalls; ++n) {
            instance.work(at);
            instance.offer(at);
            at += kGap;
        }
        instance.work(at + std::chrono::seconds(60));
    };
    SmallInstance queued(false);
    SmallInstance shedding(true);
    play(queued);
    play(shedding);

    EXPECT_LT(queued.inTime, 50);
    EXPECT_GT(shedding.inTime, 100);
    EXPECT_LT(shedding.late, 24);
}
