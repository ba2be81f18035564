#include "report.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace RadishSwitch;

class ReportTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_report.add(R"({"requests":10,"answered":9,"name":"x"})").ok());
    }

    nlohmann::json json() const
    {
        return nlohmann::json::parse(m_report.toJson());
    }

    Report m_report;
};

TEST_F(ReportTest, brokenPromise_required_isListedAndBreaksTheReport)
{
    EXPECT_TRUE(m_report.require("requests >= 10").ok());
    EXPECT_FALSE(m_report.isBroken());
    EXPECT_TRUE(m_report.require("answered == requests").ok());

    EXPECT_TRUE(m_report.isBroken());
    EXPECT_EQ(json()["broken"], nlohmann::json::array({"answered == requests"}));
}

TEST_F(ReportTest, missedGoal_aimedAt_isListedOnly)
{
    EXPECT_TRUE(m_report.aim("answered >= 10").ok());

    EXPECT_FALSE(m_report.isBroken());
    EXPECT_EQ(json()["missed"], nlohmann::json::array({"answered >= 10"}));
}

TEST_F(ReportTest, figureNeverMeasured_required_isAnError)
{
    EXPECT_FALSE(m_report.require("double_billed == 0").ok());
    EXPECT_FALSE(m_report.require("name == 0").ok());
    EXPECT_FALSE(m_report.require("requests").ok());
    EXPECT_FALSE(m_report.add("not JSON").ok());
}

TEST_F(ReportTest, shareOfNothing_required_doesNotHold)
{
    EXPECT_TRUE(m_report.addFigure("none=0").ok());
    EXPECT_TRUE(m_report.addFigure("share=answered/none").ok());
    EXPECT_TRUE(m_report.require("share <= 1").ok());

    EXPECT_TRUE(m_report.isBroken());
    EXPECT_TRUE(json()["share"].is_null());
}

TEST_F(ReportTest, figuresPicked_printed_standAlone)
{
    EXPECT_TRUE(m_report.pick("req*").ok());
    EXPECT_FALSE(m_report.pick("unknown").ok());

    EXPECT_EQ(json()["requests"], 10);
    EXPECT_FALSE(json().contains("answered"));
}

TEST_F(ReportTest, figures_added_areTakenOrWorkedOut)
{
    EXPECT_TRUE(m_report.addFigure("seed=5").ok());
    EXPECT_TRUE(m_report.addFigure("missing=requests-answered").ok());
    EXPECT_TRUE(m_report.addFigure("share=answered/requests").ok());
    EXPECT_TRUE(m_report.addFigure("sum=requests+answered*2").ok());
    EXPECT_FALSE(m_report.addFigure("more=requests+unknown").ok());
    EXPECT_FALSE(m_report.addFigure("less=requests-").ok());
    EXPECT_TRUE(m_report.addNumbers("at", R"({"a":1,"b":{"c":2,"d":"x"}})").ok());

    EXPECT_EQ(json()["seed"], 5);
    EXPECT_EQ(json()["sum"], 38.0);
    EXPECT_EQ(json()["at_a"], 1);
    EXPECT_EQ(json()["at_b_c"], 2);
    EXPECT_FALSE(json().contains("at_b_d"));
    EXPECT_EQ(json()["missing"], 1.0);
    EXPECT_EQ(json()["share"], 0.9);
}
