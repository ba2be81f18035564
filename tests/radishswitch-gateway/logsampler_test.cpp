#include "logsampler.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class LogSamplerTest : public testing::Test
{
protected:
    /// How many of `count` calls within one second are kept.
    int keptOf(int count)
    {
        int kept = 0;
        for (int n = 0; n < count; ++n) {
            kept += sampler.keeps(RequestId("call-" + std::to_string(n)), Instant(std::chrono::seconds(5))) ? 1 : 0;
        }
        return kept;
    }

    LogSampler sampler;
};

// Guards against lines that vanish without a word.
TEST_F(LogSamplerTest, linesThatAreNotKept_areCounted)
{
    const int kept = keptOf(5'000);

    EXPECT_EQ(sampler.takeLeftOut(), 5'000 - kept);
    EXPECT_EQ(sampler.takeLeftOut(), 0);
}

TEST_F(LogSamplerTest, callsWithinTheRate_areAllKept)
{
    EXPECT_EQ(keptOf(LogSampler::kLinesPerSecond), LogSampler::kLinesPerSecond);
}

TEST_F(LogSamplerTest, callsBeyondTheRate_areKeptInASmallPart)
{
    const int kept = keptOf(5'000);
    EXPECT_GT(kept, LogSampler::kLinesPerSecond);
    EXPECT_LT(kept, LogSampler::kLinesPerSecond + 5'000 / 8);
}

// A failed call is looked for in the logs of two processes. Which ordinary lines are kept must not differ between them.
TEST_F(LogSamplerTest, samplesOfTwoProcesses_areTheSameCalls)
{
    LogSampler other;
    const Instant now(std::chrono::seconds(5));
    for (int n = 0; n < LogSampler::kLinesPerSecond; ++n) {
        sampler.keeps(RequestId("warm"), now);
        other.keeps(RequestId("warm"), now);
    }
    for (int n = 0; n < 500; ++n) {
        const RequestId call("call-" + std::to_string(n));
        EXPECT_EQ(sampler.keeps(call, now), other.keeps(call, now));
    }
}
