#include "base/failure.h"
#include "commonsettings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdlib>

using namespace RadishSwitch;
using testing::HasSubstr;

class SettingsTest : public testing::Test
{
protected:
    SettingsTest()
        : parser("program", "Does things.")
    {
        addProcessSettings(parser, process);
        addFleetSettings(parser, fleet);
        parser.add("list-lag", lag, "How late");
    }

    ~SettingsTest() override
    {
        unsetenv("RADISHSWITCH_WORKERS");
    }

    /// Parses what must be given, and `more`.
    absl::Status parse(std::vector<std::string> more)
    {
        more.insert(more.begin(), {"--platform=127.0.0.1:1", "--region=r", "--zone=z"});
        return parser.parse(more);
    }

    static std::string messageOf(const absl::Status &status)
    {
        EXPECT_EQ(failureCode(status), FailureCode::InvalidSettings);
        return std::string(status.message());
    }

    const std::string key = "--fleet-key=0123456789abcdef";
    ProcessSettings process;
    FleetSettings fleet;
    Duration lag{};
    SettingsParser parser;
};

TEST_F(SettingsTest, flags_given_setTheirVariables)
{
    ASSERT_TRUE(parse({key, "--log-level=debug", "--log-format=json", "--workers=3", "--list-lag=1.5s"}).ok());

    EXPECT_EQ(process.log, (LogSettings{LogLevel::Debug, LogFormat::Json}));
    EXPECT_EQ(process.workers, 3);
    EXPECT_EQ(lag, std::chrono::milliseconds(1500));
    EXPECT_EQ(fleet.platform, SocketAddress("127.0.0.1", 1));
    EXPECT_EQ(fleet.fleetKey, "0123456789abcdef");
}

TEST_F(SettingsTest, environment_givesSetting_unlessAFlagDoes)
{
    setenv("RADISHSWITCH_WORKERS", "5", 1);

    ASSERT_TRUE(parse({key}).ok());
    EXPECT_EQ(process.workers, 5);
    ASSERT_TRUE(parse({key, "--workers=6"}).ok());
    EXPECT_EQ(process.workers, 6);
}

TEST_F(SettingsTest, environment_wrong_isNamedWithItsVariable)
{
    setenv("RADISHSWITCH_WORKERS", "many", 1);

    EXPECT_EQ(messageOf(parse({key})), "--workers (RADISHSWITCH_WORKERS): 'many' isn't a whole number from 1 to 256");
}

struct WrongSetting {
    const char *argument;
    const char *said;
};

class WrongSettingTest : public SettingsTest, public testing::WithParamInterface<WrongSetting>
{
};

TEST_P(WrongSettingTest, setting_wrong_errorSaysWhatWouldBeRight)
{
    EXPECT_THAT(messageOf(parse({key, GetParam().argument})), HasSubstr(GetParam().said));
}

INSTANTIATE_TEST_SUITE_P(
    Settings, WrongSettingTest,
    testing::Values(WrongSetting{"--workers=0", "'0' isn't a whole number from 1 to 256"},
                    WrongSetting{"--workers=3x", "'3x' isn't a whole number"},
                    WrongSetting{"--workers=99999999999999999999", "isn't a whole number"},
                    WrongSetting{"--log-level=loud", "'loud' isn't one of debug, info, warning, error, off"},
                    WrongSetting{"--list-lag=5", "'5' isn't a span of time, such as 250ms"},
                    WrongSetting{"--list-lag=-5s", "isn't a span of time"},
                    WrongSetting{"--list-lag=nans", "isn't a span of time"},
                    WrongSetting{"--list-lag=9e99s", "isn't a span of time"},
                    WrongSetting{"--platform=localhost:1", "'localhost:1' isn't an IP number with a port"},
                    WrongSetting{"--platform=127.0.0.1:65536", "isn't an IP number with a port"},
                    WrongSetting{"--platform=127.0.0.1", "isn't an IP number with a port"},
                    WrongSetting{"--address=here", "'here' isn't an IP number"},
                    WrongSetting{"--fleet-key-file=/nonexistent", "both given"},
                    WrongSetting{"--wrokers=3", "--wrokers"}));

TEST_F(SettingsTest, setting_neededButAbsent_isNamed)
{
    EXPECT_THAT(messageOf(parser.parse({key, "--region=r", "--zone=z"})),
                HasSubstr("--platform (RADISHSWITCH_PLATFORM) isn't given"));
}

TEST_F(SettingsTest, fleetKey_tooShort_isRefusedWithoutBeingShown)
{
    const std::string message = messageOf(parse({"--fleet-key=hunter2"}));

    EXPECT_THAT(message, HasSubstr("at least 16 characters"));
    EXPECT_THAT(message, testing::Not(HasSubstr("hunter2")));
}

TEST(SocketAddressTest, text_parsedAndBack_isTheSame)
{
    for (const char *text : {"127.0.0.1:8080", "[::1]:80", "0.0.0.0:0"}) {
        const auto address = parseSocketAddress(text);
        ASSERT_TRUE(address.ok()) << address.status();
        EXPECT_EQ(address->toString(), text);
    }
}
