#include "log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace RadishSwitch;

class LogTest : public testing::Test
{
protected:
    ~LogTest() override
    {
        configureLogs(LogSettings{LogLevel::Off, LogFormat::Text});
    }

    template<typename Action>
    static std::string written(LogSettings settings, Action action)
    {
        testing::internal::CaptureStderr();
        configureLogs(settings);
        action();
        return testing::internal::GetCapturedStderr();
    }

    const Log log = Log("budget");
};

TEST_F(LogTest, json_lineWithFields_isOneObjectWithThemApart)
{
    const std::string text = written(LogSettings{LogLevel::Info, LogFormat::Json}, [this] {
        log.warning("portion \"taken\"", {field("budget", "org/main"), field("tokens", 5000)});
    });

    const auto line = nlohmann::json::parse(text);
    EXPECT_EQ(line["logger"], "budget");
    EXPECT_EQ(line["level"], "WARN");
    EXPECT_EQ(line["message"], "portion \"taken\"");
    EXPECT_EQ(line["context_map"], (nlohmann::json{{"budget", "org/main"}, {"tokens", "5000"}}));
}

TEST_F(LogTest, json_lineAfterOneWithFields_hasNoneOfThem)
{
    const std::string text = written(LogSettings{LogLevel::Info, LogFormat::Json}, [this] {
        log.info("first", {field("budget", "org/main")});
        log.info("second");
    });

    const auto second = nlohmann::json::parse(text.substr(text.find('\n') + 1));
    EXPECT_FALSE(second.contains("context_map"));
}

TEST_F(LogTest, text_fieldFromOutside_cannotBeginALineOfItsOwn)
{
    const std::string text = written(LogSettings{LogLevel::Info, LogFormat::Text}, [this] {
        log.info("refused", {field("target", "/a\nERROR budget: all gone"), field("span", std::chrono::seconds(2))});
    });

    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
    EXPECT_TRUE(text.ends_with("INFO  budget: refused target=\"/a ERROR budget: all gone\" span=2000ms\n")) << text;
}

TEST_F(LogTest, level_belowTheSetOne_isNotWritten)
{
    const std::string text = written(LogSettings{LogLevel::Warning, LogFormat::Text}, [this] {
        log.info("quiet");
    });

    EXPECT_EQ(text, "");
}
