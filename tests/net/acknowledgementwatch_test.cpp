#include "acknowledgementwatch.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

namespace
{

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

}

class AcknowledgementWatchTest : public testing::Test
{
protected:
    bool isHeldUpAt(int milliseconds, std::size_t unacknowledged)
    {
        return watch.isHeldUp(unacknowledged, AcknowledgementWatch::Clock::time_point() + milliseconds * kMillisecond);
    }

    AcknowledgementWatch watch{600 * kMillisecond};
};

// Guards against requests that a cut holds up and delivers when the endpoint has long been leaving.
TEST_F(AcknowledgementWatchTest, nothingAcknowledgedForTheLimit_isHeldUp)
{
    EXPECT_FALSE(isHeldUpAt(150, 4'000));
    EXPECT_FALSE(isHeldUpAt(600, 4'000));
    EXPECT_TRUE(isHeldUpAt(750, 4'000));
}

// Guards against resetting connections of endpoints that read a long request slowly.
TEST_F(AcknowledgementWatchTest, someAcknowledgedInBetween_isNotHeldUp)
{
    EXPECT_FALSE(isHeldUpAt(150, 4'000));
    EXPECT_FALSE(isHeldUpAt(600, 3'000));
    EXPECT_FALSE(isHeldUpAt(1'000, 3'000));
    EXPECT_FALSE(isHeldUpAt(1'150, 0));
    EXPECT_FALSE(isHeldUpAt(1'900, 4'000));
    EXPECT_FALSE(isHeldUpAt(2'400, 4'000));
    EXPECT_TRUE(isHeldUpAt(2'500, 4'000));
}
