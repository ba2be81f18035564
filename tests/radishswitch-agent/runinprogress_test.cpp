#include "runinprogress.h"

#include "base/failure.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

struct EndingCase {
    std::string name;
    bool isChat = true;
    AnswerHead head;
    std::string body;
    /// Nothing for a run that is done.
    std::optional<FailureCode> failure;
    std::int64_t usedTokens = 0;
};

class RunInProgressTest : public testing::TestWithParam<EndingCase>
{
protected:
    static wire::RunRequest request(bool isChat)
    {
        wire::RunRequest request;
        request.set_chat(isChat);
        request.set_reserved_tokens(100);
        return request;
    }
};

TEST_P(RunInProgressTest, finish_answerOfEndpoint_isJudged)
{
    RunInProgress run(request(GetParam().isChat));
    absl::Status status = run.takeHead(GetParam().head);
    status.Update(run.takeBytes(GetParam().body));
    const RunResult result = run.finish(absl::OkStatus(), GetParam().body);
    status.Update(result.status);

    ASSERT_EQ(status.ok(), !GetParam().failure.has_value()) << status.ToString();
    EXPECT_EQ(result.usedTokens, GetParam().usedTokens);
    if (GetParam().failure) {
        EXPECT_EQ(failureCode(status), *GetParam().failure);
        EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown);
    }
}

const AnswerHead kJson{200, "application/json"};
const AnswerHead kEvents{200, "text/event-stream; charset=utf-8"};
const AnswerHead kText{200, "text/plain"};

AnswerHead withStatus(AnswerHead head, int status)
{
    head.status = status;
    return head;
}

INSTANTIATE_TEST_SUITE_P(
    Endings, RunInProgressTest,
    testing::Values(
        EndingCase{"wholeCompletion", true, kJson, R"({"usage":{"prompt_tokens":3,"completion_tokens":4}})", {}, 7},
        EndingCase{"completionWithoutUsage", true, kJson, R"({"choices":[]})", {}, 100},
        EndingCase{"completionCutShort", true, kJson, R"({"usage":{"prompt)", FailureCode::EndpointFailed, 0},
        EndingCase{"errorAsCompletion", true, kJson, R"({"error":{}})", FailureCode::EndpointFailed, 0},
        EndingCase{"malformedEvents", true, kEvents, "data: {\"usage\":7}\n\n", FailureCode::EndpointFailed, 0},
        EndingCase{"streamCutShort", true, kEvents, "data: {}\n\ndata: [DO", FailureCode::EndpointFailed, 0},
        EndingCase{"badChatRequest", true, withStatus(kJson, 400), R"({"error":{}})", {}, 0},
        EndingCase{"engineOverloaded", true, withStatus(kText, 503), "", FailureCode::EndpointFailed, 0},
        EndingCase{"engineLimits", true, withStatus(kText, 429), "", FailureCode::EndpointFailed, 0},
        EndingCase{"serviceCall", false, kJson, "anything", {}, 100},
        EndingCase{"serviceSaysNotFound", false, withStatus(kText, 404), "no", {}, 100},
        EndingCase{"serviceFails", false, withStatus(kText, 500), "oops", {}, 0}),
    [](const auto &info) {
        return info.param.name;
    });

// An engine died after 20 tokens and another one continues. It counts them into its prompt: 5 of the caller's own and
// the 20 given. The caller pays for one prompt and one answer, and sees the usage of one.
TEST_F(RunInProgressTest, finish_continuedAnswer_countsPromptAndAnswerOnce)
{
    wire::RunRequest continued = request(true);
    continued.set_prior_completion_tokens(20);
    RunInProgress run(continued);
    run.takeHead(kJson).IgnoreError();

    const RunResult result = run.finish(absl::OkStatus(), R"({"usage":{"prompt_tokens":25,"completion_tokens":10}})");

    EXPECT_EQ(result, (RunResult{absl::OkStatus(), 5, 30, 35}));
}

TEST_F(RunInProgressTest, finish_connectionBreaksAfterDone_isWhole)
{
    RunInProgress run(request(true));
    run.takeHead(kEvents).IgnoreError();
    run.takeBytes("data: {\"usage\":{\"completion_tokens\":4}}\n\ndata: [DONE]\n\n").IgnoreError();

    EXPECT_EQ(run.finish(makeFailure(FailureCode::ConnectionLost, ""), "").usedTokens, 4);
}
