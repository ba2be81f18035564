#include "base/failure.h"
#include "platformendpointreport.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class EndpointReportTest : public testing::Test
{
protected:
    static constexpr char kCounts[] = R"("queued":3,"active":2,"kv-used":4000,"kv-total":16000,"born":1700000000000)";

    static std::string body(const std::string &more = {})
    {
        return std::string("{") + kCounts + more + "}";
    }

    static FailureCode codeOf(const std::string &body)
    {
        const absl::StatusOr<EndpointReport> report = readEndpointReport(body);
        EXPECT_FALSE(report.ok()) << body.substr(0, 200);
        return report.ok() ? FailureCode::Internal : failureCode(report.status());
    }
};

TEST_F(EndpointReportTest, wholeReport_isRead)
{
    const auto report = readEndpointReport(body(
        R"(,"state":"ready","next-page-token":512,"runs":[["c-1",700,100,2],["c-2",7,0,9]],"other":{"a":[1,"b"]})"));
    ASSERT_TRUE(report.ok()) << report.status();
    EXPECT_EQ(report->startedAtMilliseconds, 1'700'000'000'000);
    EXPECT_EQ(report->queued, 3);
    EXPECT_EQ(report->active, 2);
    EXPECT_EQ(report->usedMemoryTokens, 4'000);
    EXPECT_EQ(report->totalMemoryTokens, 16'000);
    EXPECT_EQ(report->nextRequestTokens, 512);
    EXPECT_TRUE(report->isReady);
    ASSERT_TRUE(report->runs);
    ASSERT_EQ(report->runs->size(), 2U);
    EXPECT_EQ((*report->runs)[0].memoryTokens, 700);
    EXPECT_EQ((*report->runs)[0].events, 100);
    EXPECT_EQ((*report->runs)[0].priority, 2);
    EXPECT_NE((*report->runs)[0].id, (*report->runs)[1].id);
}

// Guards against a report that is refused for what engines leave out when nothing runs or waits.
TEST_F(EndpointReportTest, absentRunsAndNextTokens_areRead)
{
    for (const std::string more : {"", R"(,"runs":null,"next-page-token":null)"}) {
        const auto report = readEndpointReport(body(more));
        ASSERT_TRUE(report.ok()) << report.status();
        EXPECT_FALSE(report->runs);
        EXPECT_FALSE(report->nextRequestTokens);
    }
}

TEST_F(EndpointReportTest, drainingEngine_isReadAsNotReady)
{
    const auto report = readEndpointReport(body(R"(,"state":"draining","runs":[])"));
    ASSERT_TRUE(report.ok()) << report.status();
    EXPECT_FALSE(report->isReady);
    EXPECT_TRUE(report->runs);
}

// Guards against ids that an engine gives as numbers, and fields that a later version adds to a run.
TEST_F(EndpointReportTest, runs_numericIdsAndMoreFields_areRead)
{
    const auto report = readEndpointReport(body(R"(,"runs":[[18446744073709551615,1,2,3,"x",[1]],[7,1,2,3.0,null]])"));
    ASSERT_TRUE(report.ok()) << report.status();
    ASSERT_EQ(report->runs->size(), 2U);
    EXPECT_EQ((*report->runs)[1].id, 7U);
    EXPECT_EQ((*report->runs)[1].priority, 3);
}

// Guards against a report whose incarnation nobody can tell.
TEST_F(EndpointReportTest, withoutStart_fails)
{
    EXPECT_EQ(codeOf(R"({"queued":3,"active":2,"kv-used":1,"kv-total":2})"), FailureCode::MalformedMessage);
    EXPECT_EQ(codeOf(R"({"queued":3,"active":2,"kv-used":1,"kv-total":2,"born":0})"), FailureCode::MalformedMessage);
    EXPECT_EQ(codeOf(R"({"queued":3,"active":2,"kv-used":1,"kv-total":2,"born":"1700000000000"})"),
              FailureCode::MalformedMessage);
}

// Guards against numbers that are negative, not finite, or overflow, and against content of another kind.
TEST_F(EndpointReportTest, malformedContent_fails)
{
    for (const std::string body : {R"()", R"(null)", R"(17)", R"([])", R"("text")", R"({)", R"({"queued":NaN})",
                                   R"({"queued":-1,"active":2,"kv-used":1,"kv-total":2,"born":5})",
                                   R"({"queued":1,"active":2,"kv-used":-0.5,"kv-total":2,"born":5})",
                                   R"({"queued":1,"active":2,"kv-used":1e400,"kv-total":2,"born":5})",
                                   R"({"queued":1,"active":2,"kv-used":1e300,"kv-total":2,"born":5})",
                                   R"({"queued":1,"active":18446744073709551615,"kv-used":1,"kv-total":2,"born":5})",
                                   R"({"queued":true,"active":2,"kv-used":1,"kv-total":2,"born":5})",
                                   R"({"queued":{},"active":2,"kv-used":1,"kv-total":2,"born":5})",
                                   R"([{"queued":1,"active":2,"kv-used":1,"kv-total":2,"born":5}])"}) {
        EXPECT_EQ(codeOf(body), FailureCode::MalformedMessage) << body;
    }
}

TEST_F(EndpointReportTest, malformedRuns_fail)
{
    for (const std::string runs : {R"("x")", R"({})", R"([1])", R"([{}])", R"([["a",1,2]])", R"([["a",1,-2,0]])",
                                   R"([["a",-1,2,0]])", R"([["a",1,"2",0]])", R"([[null,1,2,0]])",
                                   R"([["a",1,1e300,0]])", R"([["a",1,2,1e12]])", R"([["a",[1],2,0]])"}) {
        EXPECT_EQ(codeOf(body(R"(,"runs":)" + runs)), FailureCode::MalformedMessage) << runs;
    }
}

// Guards against memory or stack that a huge or deeply nested report uses up.
TEST_F(EndpointReportTest, oversizedReport_fails)
{
    EXPECT_EQ(codeOf(body(R"(,"x":")" + std::string(kMaximumReportBytes, 'x') + "\"")), FailureCode::MessageTooLarge);
    EXPECT_EQ(codeOf(body(R"(,"x":)" + std::string(500'000, '['))), FailureCode::MalformedMessage);
    std::string runs = "[[1,1,1,1]";
    for (int n = 0; n < 20'000; ++n) {
        runs += ",[1,1,1,1]";
    }
    EXPECT_EQ(codeOf(body(R"(,"runs":)" + runs + "]")), FailureCode::MalformedMessage);
}
