#include "serving/prefillspeed.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

namespace
{

Instant at(int seconds)
{
    return Instant(std::chrono::seconds(seconds));
}

}

TEST(PrefillSpeedTest, speed_withoutAnswers_isTheAssumedOne)
{
    EXPECT_DOUBLE_EQ(PrefillSpeed().tokensPerSecond(), 101'000);
}

TEST(PrefillSpeedTest, speed_answersOfSlowerEngines_falls)
{
    PrefillSpeed speed;
    for (int n = 0; n < 20; ++n) {
        speed.note(9'000, std::chrono::milliseconds(300), at(n));
    }
    EXPECT_NEAR(speed.tokensPerSecond(), 30'000, 3'000);
}

// The latency of a short prompt is mostly that of the network and the queue.
TEST(PrefillSpeedTest, speed_shortPrompts_isUnchanged)
{
    PrefillSpeed speed;
    for (int n = 0; n < 20; ++n) {
        speed.note(500, std::chrono::milliseconds(300), at(n));
    }
    EXPECT_DOUBLE_EQ(speed.tokensPerSecond(), 101'000);
}

TEST(PrefillSpeedTest, speed_enginesBecomeFaster_risesWithinAMinute)
{
    PrefillSpeed speed;
    for (int n = 0; n < 20; ++n) {
        speed.note(9'000, std::chrono::milliseconds(900), at(n));
    }
    for (int n = 20; n < 60; ++n) {
        speed.note(9'000, std::chrono::milliseconds(100), at(n));
    }
    EXPECT_GT(speed.tokensPerSecond(), 60'000);
}
