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

TEST(PrefillSpeedTest, withoutAnswers_isTheAssumedOne)
{
    EXPECT_DOUBLE_EQ(PrefillSpeed().tokensPerSecond(), 101'000);
}

TEST(PrefillSpeedTest, answersOfSlowerEngines_bringItDown)
{
    PrefillSpeed speed;
    for (int n = 0; n < 20; ++n) {
        speed.note(9'000, std::chrono::milliseconds(300), at(n));
    }
    EXPECT_NEAR(speed.tokensPerSecond(), 30'000, 3'000);
}

// The time of a short prompt tells of the network and the queue.
TEST(PrefillSpeedTest, shortPrompts_tellNothing)
{
    PrefillSpeed speed;
    for (int n = 0; n < 20; ++n) {
        speed.note(500, std::chrono::milliseconds(300), at(n));
    }
    EXPECT_DOUBLE_EQ(speed.tokensPerSecond(), 101'000);
}

TEST(PrefillSpeedTest, enginesThatBecomeFaster_areNoticedWithinAMinute)
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
