#include "apierror.h"

#include "agentlife.h"
#include "base/failure.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace RadishSwitch;

TEST(ApiErrorTest, errorResponse_refusal_saysNotRunAndWhenToComeBack)
{
    const auto status = makeFailure(FailureCode::BudgetExhausted, "nothing left", std::chrono::milliseconds(1001));
    const HttpResponse response = errorResponse(status, "r-1");
    const nlohmann::json error = nlohmann::json::parse(response.body).at("error");
    EXPECT_EQ(response.status, httpStatusOf(FailureCode::BudgetExhausted));
    EXPECT_EQ(response.headers.find("Retry-After"), "2");
    EXPECT_EQ(response.headers.find("X-Request-Id"), "r-1");
    EXPECT_EQ(error.at("retry_after_ms"), 1001);
    EXPECT_EQ(error.at("code"), "budget_exhausted");
    EXPECT_EQ(error.at("outcome"), "not_run");
    EXPECT_EQ(error.at("request_id"), "r-1");
    EXPECT_EQ(error.at("message"), "nothing left");
}

// Rounded down, a caller would be told to come back at a moment at which it is refused again.
TEST(ApiErrorTest, errorResponse_partOfASecond_isRoundedUp)
{
    struct Case {
        int milliseconds;
        const char *seconds;
    };
    for (const Case &it : {Case{1, "1"}, Case{999, "1"}, Case{1000, "1"}, Case{2001, "3"}}) {
        const auto status = makeFailure(FailureCode::Overloaded, "", std::chrono::milliseconds(it.milliseconds));
        EXPECT_EQ(errorResponse(status, "r").headers.find("Retry-After"), it.seconds) << it.milliseconds;
    }
    EXPECT_FALSE(errorResponse(makeFailure(FailureCode::InvalidRequest, ""), "r").headers.find("Retry-After"));
}

TEST(ApiErrorTest, errorResponse_unknownOutcome_isToldAsSuch)
{
    const auto status = withUnknownOutcome(makeFailure(FailureCode::OutcomeUnknown, "it may have run"));
    const nlohmann::json error = nlohmann::json::parse(errorResponse(status, "r").body).at("error");
    EXPECT_EQ(error.at("outcome"), "unknown");
    EXPECT_EQ(error.at("code"), "outcome_unknown");
}

TEST(ApiErrorTest, errorEvent_messageThatIsNoText_isStillJson)
{
    const std::string event = errorEvent(makeFailure(FailureCode::EndpointFailed, "\xff\n"), "r");
    ASSERT_TRUE(event.starts_with("data: "));
    ASSERT_TRUE(event.ends_with("\n\n"));
    EXPECT_EQ(event.find('\n'), event.size() - 2);
    EXPECT_EQ(nlohmann::json::parse(event.substr(6)).at("error").at("code"), "endpoint_failed");
}

TEST(AgentLifeTest, toString_andBack_isTheSameLife)
{
    for (const AgentLife &life : {AgentLife{"10.0.0.1:7000", IncarnationId("a1")}, AgentLife{"10.0.0.1:7000", {}}}) {
        EXPECT_EQ(AgentLife::parse(life.toString()), life);
    }
    EXPECT_EQ((AgentLife{"h:1", IncarnationId("x")}.toString()), "h:1#x");
}
