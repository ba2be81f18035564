#include "connectionprobe.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using Step = ConnectionProbe::Step;
using Habit = ConnectionProbe::Habit;

class ConnectionProbeTest : public testing::Test
{
protected:
    static constexpr Duration kInterval = std::chrono::milliseconds(500);
    static constexpr Duration kTimeout = std::chrono::milliseconds(1200);

    Step stepAt(Duration moment, bool hasUnreadInput = false)
    {
        now = Instant(moment);
        return probe.step(now, hasUnreadInput);
    }

    Instant now;
    ConnectionProbe probe{Habit::Always, kInterval, kTimeout};
};

TEST_F(ConnectionProbeTest, step_answered_pingsAtEachInterval)
{
    for (int n = 0; n < 5; ++n) {
        EXPECT_EQ(stepAt(n * kInterval), Step::SendPing);
        EXPECT_EQ(probe.untilNext(now), kInterval);
        probe.heard();
    }
}

TEST_F(ConnectionProbeTest, step_unanswered_givesUpAtTimeoutAndNotBefore)
{
    EXPECT_EQ(stepAt(Duration::zero()), Step::SendPing);
    EXPECT_EQ(stepAt(kInterval), Step::Wait);
    EXPECT_EQ(stepAt(2 * kInterval), Step::Wait);
    EXPECT_EQ(probe.untilNext(now), kTimeout - 2 * kInterval);
    EXPECT_EQ(stepAt(kTimeout - Duration(1)), Step::Wait);
    EXPECT_EQ(stepAt(kTimeout), Step::GiveUp);
}

TEST_F(ConnectionProbeTest, step_inputUnread_doesNotGiveUp)
{
    // The process was stopped for longer than the timeout. Its timer fires first, while the answer waits in the
    // socket. Giving up here would cut off every stream of every connection after each pause of the process.
    EXPECT_EQ(stepAt(Duration::zero()), Step::SendPing);
    EXPECT_EQ(stepAt(10 * kTimeout, true), Step::Wait);
    probe.heard();
    EXPECT_EQ(stepAt(11 * kTimeout), Step::SendPing);
}

TEST_F(ConnectionProbeTest, step_whenQuietHabit_pingsOnlyAfterAQuietInterval)
{
    ConnectionProbe server(Habit::WhenQuiet, kInterval, kTimeout);
    server.heard();
    EXPECT_EQ(server.step(Instant(kInterval), false), Step::Wait);
    server.heard();
    EXPECT_EQ(server.step(Instant(2 * kInterval), false), Step::Wait);
    EXPECT_EQ(server.step(Instant(3 * kInterval), false), Step::SendPing);
    EXPECT_EQ(server.step(Instant(3 * kInterval + kTimeout), false), Step::GiveUp);
}
