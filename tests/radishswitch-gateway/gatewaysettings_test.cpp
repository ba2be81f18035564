#include "gatewaysettings.h"

#include "base/failure.h"
#include "partsettings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace RadishSwitch;
using testing::HasSubstr;

class GatewaySettingsTest : public testing::Test
{
protected:
    GatewaySettingsTest()
        : parser("radishswitch-gateway", "Accepts calls.")
    {
        addGatewaySettings(parser, settings);
    }

    absl::Status parse(std::vector<std::string> more)
    {
        more.insert(more.begin(), {"--platform=127.0.0.1:1", "--region=r", "--zone=z"});
        return parser.parse(more);
    }

    GatewaySettings settings;
    SettingsParser parser;
};

TEST_F(GatewaySettingsTest, linkFlags_given_setTheirVariables)
{
    ASSERT_TRUE(parse({"--link-mbps", "10", "--intake-budget"}).ok());

    EXPECT_EQ(settings.linkMbps, 10);
    EXPECT_TRUE(settings.hasIntakeBudget);
}

TEST_F(GatewaySettingsTest, answerFlags_given_boundTheMemoryOfAnswers)
{
    ASSERT_TRUE(parse({"--longest-answer-mb", "2", "--held-answers-mb", "5"}).ok());

    constexpr std::size_t kMegabyte = 1024 * 1024;
    EXPECT_EQ(answerMemorySettings(settings).maximumAnswerBytes, 2 * kMegabyte);
    EXPECT_EQ(answerMemorySettings(settings).maximumTotalBytes, 5 * kMegabyte);
}

TEST_F(GatewaySettingsTest, answerFlags_outOfRange_areRefused)
{
    EXPECT_FALSE(parse({"--longest-answer-mb", "0"}).ok());
    EXPECT_FALSE(parse({"--held-answers-mb", "-1"}).ok());
}

TEST_F(GatewaySettingsTest, linkFlags_missing_leaveThePartOff)
{
    ASSERT_TRUE(parse({}).ok());

    EXPECT_EQ(settings.linkMbps, 0);
    EXPECT_FALSE(settings.hasIntakeBudget);
}

// Guards against a gateway that starts with a bandwidth that makes no sense and refuses all calls.
TEST_F(GatewaySettingsTest, linkBandwidth_invalid_stopsTheStartWithFlagValueAndRange)
{
    for (const char *value : {"-1", "fast", "nan", "inf", "100001", "10Mbit"}) {
        const absl::Status status = parse({std::string("--link-mbps=") + value});
        ASSERT_EQ(failureCode(status), FailureCode::InvalidSettings) << value;
        EXPECT_THAT(std::string(status.message()), HasSubstr("--link-mbps")) << value;
        EXPECT_THAT(std::string(status.message()), HasSubstr("'" + std::string(value) + "'"));
        EXPECT_THAT(std::string(status.message()), HasSubstr("from 0 to 100000")) << value;
    }
}
