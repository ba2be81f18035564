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
    /// Makes connections of the given duration, one every five milliseconds.
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

// Guards against callers that wait until their deadlines at an instance whose link is full.
TEST_F(LinkShedderTest, isShedding_everyConnectionLate_refusesUntilConnectionsAreFast)
{
    connect(20, 3 * kMillisecond);
    connect(40, 150 * kMillisecond);
    EXPECT_TRUE(shedder.isShedding(now));

    connect(1, 5 * kMillisecond);

    EXPECT_FALSE(shedder.isShedding(now));
}

// Guards against refusing callers because endpoints are unreachable, while other connections are fast.
TEST_F(LinkShedderTest, isShedding_twoThirdsOfEndpointsUnreachable_refusesNothing)
{
    for (int n = 0; n < 100; ++n) {
        connect(2, 150 * kMillisecond);
        connect(1, 3 * kMillisecond);
        ASSERT_FALSE(shedder.isShedding(now));
    }
}

// Guards against mistaking the distance to an endpoint for a queue.
TEST_F(LinkShedderTest, isShedding_distantEndpoints_refusesNothing)
{
    connect(20, 3 * kMillisecond);
    connect(200, 90 * kMillisecond, "far");

    EXPECT_FALSE(shedder.isShedding(now));
}

// Guards against an instance that refuses for ever because, with all requests refused, it makes no connections that
// could show that the link is free.
TEST_F(LinkShedderTest, isShedding_noNewMeasurements_acceptsRequestsAgain)
{
    connect(20, 3 * kMillisecond);
    connect(40, 150 * kMillisecond);

    now += 600 * kMillisecond;

    EXPECT_FALSE(shedder.isShedding(now));
}

// Guards against an instance that accepts more than its link can carry: 300 requests per second of 6 kB each meet a
// link of 1.25 MB/s in each direction. Most of the accepted requests must get a connection in time.
TEST_F(LinkShedderTest, isShedding_moreBytesThanTheLinkCarries_mostAcceptedAreInTime)
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
