#include "serving/promptseparation.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class PromptSeparationTest : public testing::Test
{
protected:
    /// Hash of an endpoint that is selected for short prompts if at least this share of the endpoints is.
    static std::uint64_t hashAt(double share)
    {
        return static_cast<std::uint64_t>(share * 0x1p63) * 2;
    }

    /// Ten minutes of calls, of whose tokens the given share is in short prompts.
    void send(double shortShare)
    {
        for (int n = 0; n < 100; ++n) {
            now += std::chrono::seconds(6);
            separation.noteSent(1'000, static_cast<std::int64_t>(1'000'000 * shortShare), now);
            separation.noteSent(20'000, static_cast<std::int64_t>(1'000'000 * (1 - shortShare)), now);
        }
    }

    PromptSeparation separation;
    Instant now{std::chrono::hours(1)};
};

// Guards against long prompts at slow endpoints, where they make streams pause for too long.
TEST_F(PromptSeparationTest, slowEndpoint_isForShortPromptsWhateverTheLoad)
{
    send(0.01);
    separation.update({3, 30}, now);
    EXPECT_TRUE(separation.isForShort(0.4, hashAt(0.99)));
    EXPECT_FALSE(separation.isForShort(1, hashAt(0.5)));
}

// Guards against endpoints for short prompts that have less capacity than these need.
TEST_F(PromptSeparationTest, fastShare_followsShareOfTokens)
{
    send(0.4);
    separation.update({5, 35}, now);
    // 1.2 * 0.4 * 40 = 19.2, of which the slow ones have 5.
    EXPECT_NEAR(separation.fastShareForShort(), 14.2 / 35, 0.01);
    EXPECT_TRUE(separation.isForShort(1, hashAt(0.39)));
    EXPECT_FALSE(separation.isForShort(1, hashAt(0.43)));
}

// Guards against fast endpoints that are kept from long prompts although the slow ones suffice for all short ones.
TEST_F(PromptSeparationTest, slowEndpointsSuffice_allOthersAreForLongPrompts)
{
    send(0.1);
    separation.update({10, 30}, now);
    EXPECT_EQ(separation.fastShareForShort(), 0);
}

// Guards against idle endpoints where nobody sends long prompts.
TEST_F(PromptSeparationTest, onlyShortPrompts_mayUseAllEndpoints)
{
    send(1);
    separation.update({5, 35}, now);
    EXPECT_EQ(separation.fastShareForShort(), 1);
    EXPECT_TRUE(separation.isForShort(1, hashAt(0.999)));
}

// Guards against a division that keeps to the load of an hour ago.
TEST_F(PromptSeparationTest, changedLoad_changesDivisionWithinAnHour)
{
    send(0.8);
    for (int n = 0; n < 6; ++n) {
        send(0.2);
    }
    separation.update({5, 35}, now);
    EXPECT_NEAR(separation.fastShareForShort(), (1.2 * 0.2 * 40 - 5) / 35, 0.05);
}

// Guards against divisions by zero: a pool of slow endpoints only, or without any.
TEST_F(PromptSeparationTest, poolWithoutFastEndpoints_hasNoFastShare)
{
    separation.update({4, 0}, now);
    EXPECT_EQ(separation.fastShareForShort(), 0);
    separation.update({0, 0}, now);
    EXPECT_EQ(separation.fastShareForShort(), 0);
}

// Guards against an update for each call.
TEST_F(PromptSeparationTest, update_isDueOnceASecond)
{
    EXPECT_TRUE(separation.needsUpdate(now));
    separation.update({4, 4}, now);
    EXPECT_FALSE(separation.needsUpdate(now + std::chrono::milliseconds(900)));
    EXPECT_TRUE(separation.needsUpdate(now + std::chrono::milliseconds(1000)));
}
