#include "budgets/tokenuse.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class TokenUseTest : public testing::Test
{
protected:
    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::milliseconds(milliseconds));
    }

    const TokenUseSettings settings{std::chrono::seconds(4), std::chrono::milliseconds(1500)};
    TokenUse use{at(0)};
};

TEST_F(TokenUseTest, tokensPerSecond_steadyUse_isAccurateAfterTwoSeconds)
{
    for (int n = 0; n <= 2'000; n += 100) {
        use.note(100, at(n), settings);
    }
    EXPECT_NEAR(use.tokensPerSecond(at(2'000), settings), 1'000, 150);
}

TEST_F(TokenUseTest, tokensPerSecond_useEnded_decaysWithAveragingTime)
{
    for (int n = 0; n <= 20'000; n += 100) {
        use.note(100, at(n), settings);
    }
    EXPECT_NEAR(use.tokensPerSecond(at(24'000), settings), 1'000 / 2.718, 60);
    EXPECT_LT(use.tokensPerSecond(at(50'000), settings), 1);
}

// One large request on a new budget must not count as that many tokens per second.
TEST_F(TokenUseTest, tokensPerSecond_oneRequest_isAveragedOverShortestAverage)
{
    use.note(3'000, at(0), settings);
    EXPECT_LE(use.tokensPerSecond(at(0), settings), 2'500);
}
