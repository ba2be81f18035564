#include "limits/linkshedder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

using namespace RadishSwitch;

namespace
{

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

}

class LinkShedderTest : public testing::Test
{
protected:
    /// Connections that took so long each, one every five milliseconds.
    void connect(int count, Duration taken, const std::string &zone = "near")
    {
        for (int n = 0; n < count; ++n) {
            now += 5 * kMillisecond;
            shedder.noteConnected(zone, taken, now);
        }
    }

    LinkShedder shedder;
    Instant now{std::chrono::seconds(100)};
};

// Guards against callers who wait out their deadline at an instance whose link is full.
TEST_F(LinkShedderTest, everyConnectionLate_refusesUntilTheyAreQuickAgain)
{
    connect(20, 3 * kMillisecond);
    connect(40, 150 * kMillisecond);
    EXPECT_TRUE(shedder.isShedding(now));

    connect(1, 5 * kMillisecond);

    EXPECT_FALSE(shedder.isShedding(now));
}

// Guards against refusing callers for endpoints that are dark: other connections are quick.
TEST_F(LinkShedderTest, twoThirdsOfEndpointsDark_refusesNothing)
{
    for (int n = 0; n < 100; ++n) {
        connect(2, 150 * kMillisecond);
        connect(1, 3 * kMillisecond);
        ASSERT_FALSE(shedder.isShedding(now));
    }
}

// Guards against taking distance for a queue.
TEST_F(LinkShedderTest, endpointsFarAway_refusesNothing)
{
    connect(20, 3 * kMillisecond);
    connect(200, 90 * kMillisecond, "far");

    EXPECT_FALSE(shedder.isShedding(now));
}

// Guards against an instance that refuses for ever, since it makes no connections by which it could learn better.
TEST_F(LinkShedderTest, nothingMeasuredAnyMore_takesRequestsAgain)
{
    connect(20, 3 * kMillisecond);
    connect(40, 150 * kMillisecond);

    now += 600 * kMillisecond;

    EXPECT_FALSE(shedder.isShedding(now));
}

// The load that it is for: 300 requests a second of 6 kB each, to which an instance has 1.25 MB/s both ways. Whoever
// gets through has a connection in time.
TEST_F(LinkShedderTest, callerWithMoreBytesThanTheLinkTakes_mostOfThoseTakenAreInTime)
{
    constexpr double kBytesPerSecond = 1'250'000;
    constexpr double kBytesPerRequest = 6'000;
    constexpr Duration kBetween = std::chrono::microseconds(3'333);
    double queued = 0;
    std::deque<std::pair<Instant, Duration>> underWay;
    int taken = 0;
    int inTime = 0;
    for (int n = 0; n < 6'000; ++n) {
        now += kBetween;
        queued = std::max(0.0, queued - kBytesPerSecond * std::chrono::duration<double>(kBetween).count());
        while (!underWay.empty() && underWay.front().first <= now) {
            shedder.noteConnected("near", underWay.front().second, now);
            underWay.pop_front();
        }
        if (shedder.isShedding(now)) {
            shedder.noteRefused(now);
            continue;
        }
        const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(queued / kBytesPerSecond))
            + 3 * kMillisecond;
        underWay.emplace_back(now + delay, delay);
        queued += kBytesPerRequest;
        ++taken;
        inTime += delay < 150 * kMillisecond ? 1 : 0;
    }
    EXPECT_GT(taken, 3'000);
    EXPECT_GT(inTime, taken * 9 / 10);
}
