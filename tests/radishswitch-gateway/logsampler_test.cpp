#include "logsampler.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class LogSamplerTest : public testing::Test
{
protected:
    /// How many of `count` calls within one second are logged.
    int keptOf(int count)
    {
        int kept = 0;
        for (int n = 0; n < count; ++n) {
            kept += sampler.shouldLog(RequestId("call-" + std::to_string(n)), Instant(std::chrono::seconds(5))) ? 1 : 0;
        }
        return kept;
    }

    LogSampler sampler;
};

// Guards against dropped lines that are not counted, so that the log does not show that lines are missing.
TEST_F(LogSamplerTest, droppedLines_areCounted)
{
    const int kept = keptOf(5'000);

    EXPECT_EQ(sampler.takeDroppedCount(), 5'000 - kept);
    EXPECT_EQ(sampler.takeDroppedCount(), 0);
}

TEST_F(LogSamplerTest, callsWithinRate_areAllLogged)
{
    EXPECT_EQ(keptOf(LogSampler::kLinesPerSecond), LogSampler::kLinesPerSecond);
}

TEST_F(LogSamplerTest, callsBeyondRate_areSampled)
{
    const int kept = keptOf(5'000);
    EXPECT_GT(kept, LogSampler::kLinesPerSecond);
    EXPECT_LT(kept, LogSampler::kLinesPerSecond + 5'000 / 8);
}

// Guards against processes that sample different calls: operators search for a failed call in the logs of two
// processes.
TEST_F(LogSamplerTest, twoProcesses_sampleTheSameCalls)
{
    LogSampler other;
    const Instant now(std::chrono::seconds(5));
    for (int n = 0; n < LogSampler::kLinesPerSecond; ++n) {
        sampler.shouldLog(RequestId("warm"), now);
        other.shouldLog(RequestId("warm"), now);
    }
    for (int n = 0; n < 500; ++n) {
        const RequestId call("call-" + std::to_string(n));
        EXPECT_EQ(sampler.shouldLog(call, now), other.shouldLog(call, now));
    }
}
