#include "base/failure.h"
#include "requests/chatrequest.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace RadishSwitch;

namespace
{

constexpr char kBody[] = R"({"model":"drape-llm","messages":[{"role":"user","content":"How wide?"}],"max_tokens":5})";

struct InvalidBody {
    const char *name;
    const char *body;
    const char *field;
};

class ChatRequestInvalidBodyTest : public testing::TestWithParam<InvalidBody>
{
};

}

TEST_P(ChatRequestInvalidBodyTest, parse_invalidBody_errorNamesTheField)
{
    const absl::StatusOr<ChatRequest> request = ChatRequest::parse(GetParam().body);

    ASSERT_FALSE(request.ok());
    EXPECT_EQ(failureCode(request.status()), FailureCode::InvalidRequest);
    EXPECT_NE(std::string(request.status().message()).find(GetParam().field), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, ChatRequestInvalidBodyTest,
    testing::Values(
        InvalidBody{"empty", "", "JSON object"}, InvalidBody{"truncated", R"({"model":"m","mess)", "JSON object"},
        InvalidBody{"list", "[]", "JSON object"}, InvalidBody{"noModel", R"({"messages":[]})", "model"},
        InvalidBody{"modelIsNumber", R"({"model":3})", "model"},
        InvalidBody{"noMessages", R"({"model":"m"})", "messages"},
        InvalidBody{"noRole", R"({"model":"m","messages":[{"content":"x"}]})", "role"},
        InvalidBody{"messageIsText", R"({"model":"m","messages":["x"]})", "role"},
        InvalidBody{"contentIsNumber", R"({"model":"m","messages":[{"role":"user","content":1}]})", "content"},
        InvalidBody{"imagePart", R"({"model":"m","messages":[{"role":"u","content":[{"type":"image"}]}]})",
                    "content[]"},
        InvalidBody{"streamIsText", R"({"model":"m","stream":"yes","messages":[{"role":"u"}]})", "stream"},
        InvalidBody{"zeroTokens", R"({"model":"m","max_tokens":0,"messages":[{"role":"u"}]})", "max_tokens"},
        InvalidBody{"hugeTokens", R"({"model":"m","max_tokens":99999999999,"messages":[{"role":"u"}]})", "max_tokens"},
        InvalidBody{"twoChoices", R"({"model":"m","n":2,"messages":[{"role":"u"}]})", "n must"}),
    [](const auto &info) {
        return info.param.name;
    });

TEST(ChatRequestTest, parse_validBody_boundsPromptByItsBytes)
{
    const absl::StatusOr<ChatRequest> request = ChatRequest::parse(kBody);

    ASSERT_TRUE(request.ok()) << request.status();
    EXPECT_GE(request->promptTokensBound(), 9);
    EXPECT_EQ(request->worstCaseTokens(), request->promptTokensBound() + 5);
}

// A complete answer sends no byte before its end, so an engine that has stopped would be noticed only at the deadline.
TEST(ChatRequestTest, engineBody_callerAsksForNoStream_asksForStreamWithUsage)
{
    const absl::StatusOr<ChatRequest> request = ChatRequest::parse(kBody);
    EXPECT_FALSE(request->isStreamed());
    for (const std::string &body : {request->engineBody(), request->continuationBody("About two", 2)}) {
        const auto json = nlohmann::json::parse(body);
        EXPECT_EQ(json["stream"], true);
        EXPECT_EQ(json["stream_options"]["include_usage"], true);
    }
}

TEST(ChatRequestTest, continuationBody_partDelivered_asksForRestOnly)
{
    const absl::StatusOr<ChatRequest> request = ChatRequest::parse(kBody);

    const auto json = nlohmann::json::parse(request->continuationBody("About two", 2));

    EXPECT_EQ(json["messages"].back()["content"], "About two");
    EXPECT_EQ(json["continue_final_message"], true);
    EXPECT_EQ(json["max_tokens"], 3);
}
