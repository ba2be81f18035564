#include "retryafter.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class RetryAfterTest : public testing::Test
{
};

// Guards against a wait that is taken for another time, or for none.
TEST_F(RetryAfterTest, secondsAndDates_areRead)
{
    const auto wait = [](const std::string &text) {
        return readRetryAfter({{"Retry-After", text}}).wait;
    };
    EXPECT_EQ(wait("3"), std::chrono::seconds(3));
    EXPECT_EQ(wait("0.25"), std::chrono::milliseconds(250));
    EXPECT_EQ(wait("0"), Duration::zero());
    EXPECT_EQ(wait("3600"), std::chrono::hours(1));
    EXPECT_GE(wait("1e300"), std::chrono::hours(24));
    EXPECT_EQ(wait("Fri, 13 Mar 2020 10:49:07 GMT"), Duration::zero());
    const HttpHeaders dated{{"Date", "Fri, 13 Mar 2026 10:49:04 GMT"},
                            {"Retry-After", "Fri, 13 Mar 2026 10:49:07 GMT"}};
    EXPECT_EQ(readRetryAfter(dated).wait, std::chrono::seconds(3));
    EXPECT_EQ(readRetryAfter({}), RetryAfter());
}

// Guards against words that pass for a time, and against a sound one that is lost beside them.
TEST_F(RetryAfterTest, whatIsNoTime_isMalformed)
{
    for (const std::string text : {"", "soon", "-1", "nan", "inf", "3 s", "1e999", "Fri, 13 Mar"}) {
        EXPECT_EQ(readRetryAfter({{"Retry-After", text}}), (RetryAfter{std::nullopt, true})) << text;
    }
    const RetryAfter both = readRetryAfter({{"Retry-After", "1"}, {"Retry-After", "much"}});
    EXPECT_EQ(both, (RetryAfter{std::chrono::seconds(1), true}));
    EXPECT_EQ(readRetryAfter({{"Retry-After", "1"}, {"retry-after", "2.5"}}).wait, std::chrono::milliseconds(2500));
}
