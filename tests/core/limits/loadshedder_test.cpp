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

    void pass(int milliseconds)
    {
        now += milliseconds * kMillisecond;
    }

    LoadShedder shedder;
    Instant now{std::chrono::seconds(100)};
};

TEST_F(LoadShedderTest, oneLateMeasurement_takesEveryRequestAllTheSame)
{
    // A process that was frozen for two seconds runs everything late once. What waits is served at once then; to refuse
    // it would turn callers away from an instance that has time.
    note(2000);
    EXPECT_FALSE(shedder.isShedding(now));
    pass(5);
    note(3);
    pass(300);
    note(90);

    EXPECT_FALSE(shedder.isShedding(now));
}

TEST_F(LoadShedderTest, lateForLong_refusesUntilCalmAndNoLonger)
{
    note(70);
    pass(70);
    note(70);
    pass(70);
    note(70);
    EXPECT_TRUE(shedder.isShedding(now));

    note(40);
    EXPECT_TRUE(shedder.isShedding(now));
    note(20);
    EXPECT_FALSE(shedder.isShedding(now));
}

TEST_F(LoadShedderTest, measurementThatIsOld_refusesNothing)
{
    note(100);
    pass(200);
    note(100);
    ASSERT_TRUE(shedder.isShedding(now));

    pass(500);

    EXPECT_FALSE(shedder.isShedding(now));
}

TEST_F(LoadShedderTest, overloadThatLasts_sendsCallersElsewhereUntilItIsOver)
{
    for (int n = 0; n < 4; ++n) {
        shedder.noteRefused(now);
        EXPECT_FALSE(shedder.isDiverting(now));
        pass(150);
    }
    shedder.noteRefused(now);
    EXPECT_TRUE(shedder.isDiverting(now));
    pass(2900);
    EXPECT_TRUE(shedder.isDiverting(now));
    pass(200);
    EXPECT_FALSE(shedder.isDiverting(now));
    // A single refusal later is a new overload, which may pass by itself.
    shedder.noteRefused(now);
    EXPECT_FALSE(shedder.isDiverting(now));
}

/// One processor that serves a line of requests, each for `kServed`, or refuses it in `kRefused`.
class SmallInstance
{
public:
    explicit SmallInstance(bool isShedding)
        : m_isShedding(isShedding)
    {
    }

    void offer(Instant at)
    {
        m_line.push_back(at);
    }

    /// Works until `end`.
    void work(Instant end)
    {
        while (!m_line.empty() && m_now < end) {
            // The task that measures goes to the end of the line that stands there now.
            const std::size_t pass = m_line.size();
            const Instant began = m_now;
            for (std::size_t n = 0; n < pass; ++n) {
                m_shedder.noteOverdue(m_now - began, m_now);
                serveFirst();
            }
            m_shedder.noteDelay(m_now - began, m_now);
        }
        m_now = std::max(m_now, end);
    }

    int inTime = 0;
    int refusedInTime = 0;
    int late = 0;

private:
    static constexpr Duration kServed = std::chrono::microseconds(9500);
    static constexpr Duration kRefused = std::chrono::microseconds(900);
    static constexpr Duration kPatience = std::chrono::milliseconds(300);

    void serveFirst()
    {
        const Instant came = m_line.front();
        m_line.pop_front();
        const bool isRefused = m_isShedding && m_shedder.isShedding(m_now);
        if (isRefused) {
            m_shedder.noteRefused(m_now);
        }
        m_now += isRefused ? kRefused : kServed;
        int &count = m_now - came > kPatience ? late : isRefused ? refusedInTime : inTime;
        ++count;
    }

    const bool m_isShedding;
    LoadShedder m_shedder;
    std::deque<Instant> m_line;
    Instant m_now{};
};

TEST_F(LoadShedderTest, callerWithFourTimesWhatTheInstanceCanDo_meetsItsAnswerOrItsRefusalInTime)
{
    // One caller sends 400 calls a second for six seconds to an instance that has time for 105. In line, all calls but
    // the first thirty or so are later than the 300 ms after which they are worth little; callers of others meet the
    // same line. With refusals at a tenth of the cost the line stays short: some are served, and the rest go elsewhere
    // while there is time.
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
    SmallInstance inLine(false);
    SmallInstance shedding(true);
    play(inLine);
    play(shedding);

    EXPECT_LT(inLine.inTime, 50);
    EXPECT_GT(shedding.inTime, 100);
    EXPECT_LT(shedding.late, 24);
}
