#include "serving/endpointloadmeter.h"

#include <gtest/gtest.h>

#include <limits>

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// An engine whose runs make events at a given pace, and whose reports are read every 100 ms.
class EndpointLoadMeterTest : public testing::Test
{
protected:
    static constexpr Duration kReadInterval = 100ms;

    static EndpointRun run(std::uint64_t id, std::int64_t events)
    {
        return {id, 100 + events * 7, events, 0};
    }

    EndpointReport report() const
    {
        EndpointReport report;
        report.startedAtMilliseconds = born;
        report.queued = queued;
        report.active = static_cast<std::int64_t>(runs.size());
        report.usedMemoryTokens = 4'000;
        report.totalMemoryTokens = 16'000;
        report.runs = runs;
        return report;
    }

    void read()
    {
        meter.add(report(), now);
    }

    /// Lets the engine work for `span`: each run makes an event in each `eventInterval`.
    void work(Duration span, Duration eventInterval)
    {
        for (Duration done{}; done < span; done += kReadInterval) {
            now += kReadInterval;
            m_worked += kReadInterval;
            const std::int64_t events = m_worked / eventInterval - m_eventsMade;
            m_eventsMade += events;
            for (EndpointRun &it : runs) {
                it.events += events;
            }
            read();
        }
        m_worked = Duration::zero();
        m_eventsMade = 0;
    }

    EndpointLoadReport load() const
    {
        return meter.load(now).value_or(EndpointLoadReport());
    }

    static double milliseconds(Duration span)
    {
        return std::chrono::duration<double, std::milli>(span).count();
    }

    std::int64_t born = 1'700'000'000'000;
    std::int64_t queued = 0;
    std::vector<EndpointRun> runs;
    Instant now{std::chrono::hours(1)};
    EndpointLoadMeter meter{"10.0.0.1:8000"};

private:
    Duration m_worked{};
    std::int64_t m_eventsMade = 0;
};

// Guards against a load that is made up before anything was measured.
TEST_F(EndpointLoadMeterTest, load_withoutReport_isUnknown)
{
    EXPECT_FALSE(meter.load(now));
}

TEST_F(EndpointLoadMeterTest, firstReport_givesCountsAndNoTimes)
{
    runs = {run(1, 10), run(2, 0)};
    queued = 3;
    read();
    now += 30ms;
    EXPECT_EQ(load().address, "10.0.0.1:8000");
    EXPECT_EQ(load().startedAtMilliseconds, born);
    EXPECT_EQ(load().running, 2);
    EXPECT_EQ(load().waiting, 3);
    EXPECT_EQ(load().eventInterval, Duration::zero());
    EXPECT_EQ(load().idleEventInterval, Duration::zero());
    EXPECT_EQ(load().longestPause, Duration::zero());
    EXPECT_DOUBLE_EQ(load().memoryShare, 0.25);
    EXPECT_EQ(load().age, 30ms);
}

// Guards against a fast engine that is taken for one with pauses since its reports are further apart than its events.
TEST_F(EndpointLoadMeterTest, steadyStreams_fastEngine_givesIntervalAndShortPause)
{
    runs = {run(1, 1), run(2, 5), run(3, 9)};
    read();
    work(3s, 25ms);
    EXPECT_NEAR(milliseconds(load().eventInterval), 25, 1);
    EXPECT_NEAR(milliseconds(load().idleEventInterval), 25, 1);
    EXPECT_LT(load().longestPause, 60ms);
}

// Guards against an engine that takes 2.4 times as long and looks the same as the others, as its counts do.
TEST_F(EndpointLoadMeterTest, steadyStreams_slowEngine_givesLongerInterval)
{
    runs = {run(1, 1), run(2, 5)};
    read();
    work(6s, 150ms);
    EXPECT_NEAR(milliseconds(load().eventInterval), 150, 20);
    EXPECT_NEAR(milliseconds(load().idleEventInterval), 150, 12);
    EXPECT_GE(load().longestPause, 140ms);
    EXPECT_LE(load().longestPause, 250ms);
}

// Guards against a short spell of noise that is remembered for long, and against own speed that follows each spell.
TEST_F(EndpointLoadMeterTest, slowSpell_afterASecond_isSeenInIntervalAndLittleInOwnSpeed)
{
    runs = {run(1, 1)};
    read();
    work(30s, 25ms);
    work(1s, 100ms);
    EXPECT_NEAR(milliseconds(load().eventInterval), 100, 12);
    EXPECT_LT(load().idleEventInterval, 30ms);
    work(2s, 25ms);
    EXPECT_NEAR(milliseconds(load().eventInterval), 25, 2);
}

// Guards against a loaded engine that is taken for a slow one: events are late while requests wait.
TEST_F(EndpointLoadMeterTest, queue_doesNotChangeOwnSpeed)
{
    runs = {run(1, 1)};
    read();
    work(5s, 25ms);
    queued = 4;
    work(5s, 200ms);
    EXPECT_NEAR(milliseconds(load().eventInterval), 200, 20);
    EXPECT_NEAR(milliseconds(load().idleEventInterval), 25, 1);
}

// Guards against an expected wait that ignores how fast the engine takes up waiting requests.
TEST_F(EndpointLoadMeterTest, expectedWait_followsRateOfStarts)
{
    queued = 20;
    std::uint64_t nextRun = 1;
    read();
    for (int n = 0; n < 100; ++n) {
        now += kReadInterval;
        runs = {run(nextRun, 0), run(nextRun + 1, 3)};
        ++nextRun;
        read();
    }
    // One start in 100 ms.
    EXPECT_NEAR(milliseconds(load().expectedWait), 2'000, 100);
    queued = 0;
    now += kReadInterval;
    read();
    EXPECT_EQ(load().expectedWait, Duration::zero());
}

// Guards against an engine that has stopped and whose queue looks short.
TEST_F(EndpointLoadMeterTest, expectedWait_nothingStarts_grows)
{
    queued = 2;
    runs = {run(1, 5)};
    read();
    work(500ms, 10s);
    const Duration before = load().expectedWait;
    work(3s, 10s);
    EXPECT_GT(load().expectedWait, 2 * before);
}

// Guards against a prompt that holds up all running streams and is not seen, and against one that is seen for ever.
TEST_F(EndpointLoadMeterTest, pause_isSeenWhileItLastsAndForASecondAfterIt)
{
    runs = {run(1, 1), run(2, 1)};
    read();
    work(2s, 25ms);
    work(600ms, 10s);
    EXPECT_NEAR(milliseconds(load().longestPause), 600, 60);
    work(800ms, 25ms);
    EXPECT_NEAR(milliseconds(load().longestPause), 600, 80);
    work(500ms, 25ms);
    EXPECT_LT(load().longestPause, 60ms);
}

// Guards against an engine that has frozen and whose last good speed is told on.
TEST_F(EndpointLoadMeterTest, frozenEngine_intervalBecomesThePause)
{
    runs = {run(1, 1), run(2, 1)};
    read();
    work(2s, 25ms);
    work(3s, 1h);
    EXPECT_GE(load().eventInterval, 2'900ms);
    EXPECT_GE(load().longestPause, 2'900ms);
}

// Guards against the prefilling of a long prompt that is taken for a pause of its stream.
TEST_F(EndpointLoadMeterTest, runWithoutEvents_isNoPause)
{
    runs = {run(1, 1), run(2, 0)};
    read();
    for (int n = 0; n < 10; ++n) {
        now += kReadInterval;
        runs[0].events += 4;
        read();
    }
    EXPECT_NEAR(milliseconds(load().eventInterval), 25, 1);
    EXPECT_LT(load().longestPause, 60ms);
}

// Guards against runs that end and start between two reports: their events say nothing about time.
TEST_F(EndpointLoadMeterTest, runsThatEndAndStart_doNotDistortTheInterval)
{
    runs = {run(1, 1), run(100, 50)};
    read();
    for (std::uint64_t n = 0; n < 20; ++n) {
        now += kReadInterval;
        runs[0].events += 4;
        runs[1] = run(101 + n, 2);
        read();
    }
    EXPECT_NEAR(milliseconds(load().eventInterval), 25, 1);
}

// Guards against the speed of an engine that was replaced, which would be told of the new one.
TEST_F(EndpointLoadMeterTest, restart_resetsTheMeter)
{
    runs = {run(1, 1), run(2, 1)};
    read();
    work(5s, 200ms);
    born += 60'000;
    runs = {run(1, 500)};
    now += kReadInterval;
    read();
    EXPECT_EQ(load().startedAtMilliseconds, born);
    EXPECT_EQ(load().eventInterval, Duration::zero());
    EXPECT_EQ(load().idleEventInterval, Duration::zero());
    EXPECT_EQ(load().longestPause, Duration::zero());
}

// Guards against a false pause when an endpoint that renews its report every 100 ms gives the same one twice.
TEST_F(EndpointLoadMeterTest, repeatedReport_isNoPause)
{
    runs = {run(1, 1)};
    read();
    for (int n = 0; n < 20; ++n) {
        now += kReadInterval;
        read();
        now += kReadInterval;
        runs[0].events += 8;
        read();
    }
    EXPECT_NEAR(milliseconds(load().eventInterval), 25, 1);
    EXPECT_LT(load().longestPause, 100ms);
}

// Guards against a report that was delayed and would undo a later one.
TEST_F(EndpointLoadMeterTest, reportReadEarlier_isIgnored)
{
    runs = {run(1, 1)};
    read();
    work(1s, 25ms);
    const EndpointLoadReport before = load();
    queued = 50;
    meter.add(report(), now - 300ms);
    EXPECT_EQ(load(), before);
}

// Guards against numbers that no engine has: the load stays within its bounds, and the next reports are measured.
TEST_F(EndpointLoadMeterTest, absurdNumbers_stayWithinBounds)
{
    constexpr std::int64_t kMost = std::numeric_limits<std::int64_t>::max();
    runs = {run(1, 1)};
    read();
    for (const std::int64_t events : {kMost, std::int64_t(0), std::int64_t(-5), kMost, std::int64_t(2)}) {
        now += kReadInterval;
        EndpointReport absurd = report();
        absurd.queued = kMost;
        absurd.usedMemoryTokens = kMost;
        absurd.runs = {{1, kMost, events, 0}, {1, -1, events, 0}};
        meter.add(absurd, now);
        EXPECT_GE(load().waiting, 0);
        EXPECT_LE(load().expectedWait, 60s);
        EXPECT_GE(load().eventInterval, Duration::zero());
        EXPECT_GE(load().longestPause, Duration::zero());
        EXPECT_LE(load().longestPause, 60s);
        EXPECT_LE(load().memoryShare, 1);
    }
    runs = {run(7, 1)};
    read();
    work(3s, 25ms);
    EXPECT_NEAR(milliseconds(load().eventInterval), 25, 2);
}

// Guards against an endpoint without a list of runs, of which only the counts are known.
TEST_F(EndpointLoadMeterTest, reportWithoutRuns_givesActiveAsRunning)
{
    EndpointReport plain = report();
    plain.runs.reset();
    plain.active = 5;
    meter.add(plain, now);
    now += kReadInterval;
    meter.add(plain, now);
    EXPECT_EQ(load().running, 5);
    EXPECT_EQ(load().eventInterval, Duration::zero());
}
