#include "base/failure.h"
#include "requests/chatrequest.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace RadishSwitch;

namespace
{

constexpr char kBody[] = R"({"model":"drape-llm","messages":[{"role":"user","content":"How wide?"}],"max_tokens":5})";

struct BadBody {
    const char *name;
    const char *body;
    const char *named;
};

class ChatRequestBadBodyTest : public testing::TestWithParam<BadBody>
{
};

}

TEST_P(ChatRequestBadBodyTest, parse_badBody_namesTheFieldInATypedError)
{
    const absl::StatusOr<ChatRequest> request = ChatRequest::parse(GetParam().body);

    ASSERT_FALSE(request.ok());
    EXPECT_EQ(failureCode(request.status()), FailureCode::InvalidRequest);
    EXPECT_NE(std::string(request.status().message()).find(GetParam().named), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Door, ChatRequestBadBodyTest,
    testing::Values(
        BadBody{"empty", "", "JSON object"}, BadBody{"truncated", R"({"model":"m","mess)", "JSON object"},
        BadBody{"list", "[]", "JSON object"}, BadBody{"noModel", R"({"messages":[]})", "model"},
        BadBody{"modelIsNumber", R"({"model":3})", "model"}, BadBody{"noMessages", R"({"model":"m"})", "messages"},
        BadBody{"noRole", R"({"model":"m","messages":[{"content":"x"}]})", "role"},
        BadBody{"messageIsText", R"({"model":"m","messages":["x"]})", "role"},
        BadBody{"contentIsNumber", R"({"model":"m","messages":[{"role":"user","content":1}]})", "content"},
        BadBody{"imagePart", R"({"model":"m","messages":[{"role":"u","content":[{"type":"image"}]}]})", "content[]"},
        BadBody{"streamIsText", R"({"model":"m","stream":"yes","messages":[{"role":"u"}]})", "stream"},
        BadBody{"zeroTokens", R"({"model":"m","max_tokens":0,"messages":[{"role":"u"}]})", "max_tokens"},
        BadBody{"hugeTokens", R"({"model":"m","max_tokens":99999999999,"messages":[{"role":"u"}]})", "max_tokens"},
        BadBody{"twoChoices", R"({"model":"m","n":2,"messages":[{"role":"u"}]})", "n must"}),
    [](const auto &info) {
        return info.param.name;
    });

TEST(ChatRequestTest, parse_wholeBody_boundsThePromptByItsBytes)
{
    const absl::StatusOr<ChatRequest> request = ChatRequest::parse(kBody);

    ASSERT_TRUE(request.ok()) << request.status();
    EXPECT_GE(request->promptTokensBound(), 9);
    EXPECT_EQ(request->worstCaseTokens(), request->promptTokensBound() + 5);
}

// A whole answer sends no byte before its end, so an engine that fell silent would show only at the deadline.
TEST(ChatRequestTest, engineBody_callerAsksForNoStream_asksForAStreamWithUsage)
{
    const absl::StatusOr<ChatRequest> request = ChatRequest::parse(kBody);
    EXPECT_FALSE(request->isStreamed());
    for (const std::string &body : {request->engineBody(), request->continuationBody("About two", 2)}) {
        const auto json = nlohmann::json::parse(body);
        EXPECT_EQ(json["stream"], true);
        EXPECT_EQ(json["stream_options"]["include_usage"], true);
    }
}

TEST(ChatRequestTest, continuationBody_partDelivered_asksForTheRestOnly)
{
    const absl::StatusOr<ChatRequest> request = ChatRequest::parse(kBody);

    const auto json = nlohmann::json::parse(request->continuationBody("About two", 2));

    EXPECT_EQ(json["messages"].back()["content"], "About two");
    EXPECT_EQ(json["continue_final_message"], true);
    EXPECT_EQ(json["max_tokens"], 3);
}
