#include "chatstreamrelay.h"

#include "fakehttpexchange.h"
#include "virtualloop.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace RadishSwitch;

namespace
{

constexpr char kDone[] = "data: [DONE]\n\n";

std::string opening(const std::string &id)
{
    return R"(data: {"id":")" + id + R"(","created":5,"choices":[{"index":0,"delta":{"role":"assistant"}}]})" + "\n\n";
}

std::string token(const std::string &id, const std::string &text)
{
    return R"(data: {"id":")" + id + R"(","created":5,"choices":[{"index":0,"delta":{"content":")" + text + R"("}}]})"
        + "\n\n";
}

std::string usage(const std::string &id)
{
    return R"(data: {"id":")" + id + R"(","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}})" + "\n\n";
}

}

class ChatStreamRelayTest : public testing::Test
{
protected:
    absl::Status append(ChatStreamRelay &relay, const std::string &data)
    {
        return loop.run(relay.append(data));
    }

    absl::Status finish(ChatStreamRelay &relay)
    {
        return loop.run(relay.finish());
    }

    /// A relay that has passed the head of an engine's stream.
    ChatStreamRelay streaming(bool passesUsage = false)
    {
        ChatStreamRelay relay(exchange, "r-1", true, passesUsage);
        relay.setHead(200, "text/event-stream");
        return relay;
    }

    /// The same for a caller who asked for no stream.
    ChatStreamRelay whole()
    {
        ChatStreamRelay relay(exchange, "r-1", false, false);
        relay.setHead(200, "text/event-stream");
        return relay;
    }

    nlohmann::json answer() const
    {
        return nlohmann::json::parse(exchange.responses.at(0).body);
    }

    VirtualLoop loop;
    FakeHttpExchange exchange;
};

TEST_F(ChatStreamRelayTest, append_splitAtAnyByte_givesTheSameBytes)
{
    const std::string bytes =
        opening("c-1") + token("c-1", "a\\u00e9") + ": comment\n\n" + token("c-1", "b") + usage("c-1") + kDone;
    const std::string passed = opening("c-1") + token("c-1", "a\\u00e9") + token("c-1", "b") + kDone;
    for (std::size_t n = 0; n <= bytes.size(); ++n) {
        exchange = FakeHttpExchange();
        ChatStreamRelay relay = streaming();
        ASSERT_TRUE(append(relay, bytes.substr(0, n)).ok());
        ASSERT_TRUE(append(relay, bytes.substr(n)).ok());
        ASSERT_TRUE(finish(relay).ok());
        ASSERT_EQ(exchange.written, passed) << "split at " << n;
        ASSERT_EQ(exchange.begun.size(), 1u);
    }
    EXPECT_EQ(exchange.begun.front().headers.find("X-Request-Id"), "r-1");
    EXPECT_TRUE(exchange.isEnded);
}

TEST_F(ChatStreamRelayTest, append_usageChunk_passesOnlyWhenAsked)
{
    ChatStreamRelay relay = streaming(true);
    ASSERT_TRUE(append(relay, token("c-1", "a") + usage("c-1")).ok());
    EXPECT_EQ(exchange.written, token("c-1", "a") + usage("c-1"));
}

// The end of the stream tells the caller that the answer is whole and billed. Passed on as it came, it would be told
// before the bill is on the books.
TEST_F(ChatStreamRelayTest, append_done_isHeldUntilFinish)
{
    ChatStreamRelay relay = streaming();
    ASSERT_TRUE(append(relay, token("c-1", "a") + kDone).ok());
    EXPECT_EQ(exchange.written, token("c-1", "a"));
    EXPECT_FALSE(exchange.isEnded);
    ASSERT_TRUE(finish(relay).ok());
    EXPECT_EQ(exchange.written, token("c-1", "a") + kDone);
    EXPECT_TRUE(exchange.isEnded);
}

// An engine may end an answer without a single token. The caller still gets a stream, with nothing in it but its end.
TEST_F(ChatStreamRelayTest, finish_answerWithoutTokens_isAnEmptyStream)
{
    ChatStreamRelay relay = streaming();
    ASSERT_TRUE(append(relay, usage("c-1") + kDone).ok());
    EXPECT_TRUE(finish(relay).ok());
    ASSERT_EQ(exchange.begun.size(), 1u);
    EXPECT_EQ(exchange.written, kDone);
    EXPECT_TRUE(exchange.isEnded);
}

// The engine dies in the middle of an event. Another goes on: it opens an answer of its own, with its own id. The
// caller must see one answer with one id, one role, and no half event.
TEST_F(ChatStreamRelayTest, beginContinuation_afterACutEvent_goesOnAsTheSameAnswer)
{
    ChatStreamRelay relay = streaming();
    ASSERT_TRUE(append(relay, opening("c-1") + token("c-1", "a") + "data: {\"id\":\"c-1\",\"cho").ok());
    EXPECT_EQ(relay.deliveredText(), "a");
    EXPECT_EQ(relay.deliveredTokens(), 1);
    EXPECT_EQ(relay.deliveredBytes(), exchange.written);

    relay.beginContinuation();
    relay.setHead(200, "text/event-stream");
    ASSERT_TRUE(append(relay, opening("c-2") + token("c-2", "b") + kDone).ok());
    ASSERT_TRUE(finish(relay).ok());
    ASSERT_EQ(exchange.begun.size(), 1u);
    EXPECT_EQ(relay.deliveredText(), "ab");
    EXPECT_EQ(relay.deliveredTokens(), 2);
    EXPECT_EQ(exchange.written.find("c-2"), std::string::npos);
    EXPECT_EQ(exchange.written.find("assistant"), exchange.written.rfind("assistant"));
    EXPECT_TRUE(exchange.written.ends_with(kDone));
}

TEST_F(ChatStreamRelayTest, finish_errorOfTheEngine_isPassedAsAWholeAnswer)
{
    ChatStreamRelay relay(exchange, "r-1", true, false);
    relay.setHead(422, "application/json");
    ASSERT_TRUE(append(relay, R"({"error":)").ok());
    ASSERT_TRUE(append(relay, R"("no"})").ok());
    EXPECT_FALSE(relay.hasDelivered());
    ASSERT_TRUE(finish(relay).ok());
    ASSERT_EQ(exchange.responses.size(), 1u);
    EXPECT_EQ(exchange.responses.front().status, 422);
    EXPECT_EQ(exchange.responses.front().body, R"({"error":"no"})");
    EXPECT_EQ(exchange.responses.front().headers.find("Content-Type"), "application/json");
    EXPECT_TRUE(exchange.begun.empty());
}

// An engine dies in mid-answer and the next one refuses to go on, with an error of its own. The caller's stream has
// begun, so a second head can't be sent: it ends with a typed error and without "[DONE]".
TEST_F(ChatStreamRelayTest, finish_errorInAContinuation_endsTheStreamWithATypedError)
{
    ChatStreamRelay relay = streaming();
    ASSERT_TRUE(append(relay, token("c-1", "a")).ok());
    relay.beginContinuation();
    relay.setHead(400, "application/json");
    ASSERT_TRUE(append(relay, R"({"error":"too long"})").ok());
    const absl::Status status = finish(relay);
    EXPECT_EQ(failureCode(status), FailureCode::EndpointFailed);
    EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown);
    loop.run(relay.fail(status));
    EXPECT_TRUE(exchange.responses.empty());
    ASSERT_TRUE(exchange.written.starts_with(token("c-1", "a") + "data: {\"error\""));
    EXPECT_EQ(exchange.written.find("[DONE]"), std::string::npos);
    EXPECT_TRUE(exchange.isEnded);
}

// The run is given up in mid-answer. The status line is long gone; the caller learns of it by a typed event and by the
// missing "[DONE]".
TEST_F(ChatStreamRelayTest, fail_midStream_writesATypedErrorEvent)
{
    ChatStreamRelay relay = streaming();
    ASSERT_TRUE(append(relay, token("c-1", "a")).ok());
    const auto status = withUnknownOutcome(
        makeFailure(FailureCode::EndpointFailed, "the engine died", std::chrono::milliseconds(1000)));
    loop.run(relay.fail(status));
    const std::string event = exchange.written.substr(token("c-1", "a").size());
    ASSERT_TRUE(event.starts_with("data: "));
    const nlohmann::json error = nlohmann::json::parse(event.substr(6)).at("error");
    EXPECT_EQ(error.at("code"), "endpoint_failed");
    EXPECT_EQ(error.at("outcome"), "unknown");
    EXPECT_EQ(error.at("retry_after_ms"), 1000);
    EXPECT_TRUE(exchange.isEnded);
    EXPECT_TRUE(exchange.responses.empty());
}

TEST_F(ChatStreamRelayTest, fail_beforeTheFirstByte_isAWholeAnswer)
{
    ChatStreamRelay relay = streaming();
    loop.run(relay.fail(makeFailure(FailureCode::Overloaded, "full", std::chrono::milliseconds(300))));
    ASSERT_EQ(exchange.responses.size(), 1u);
    EXPECT_EQ(exchange.responses.front().status, httpStatusOf(FailureCode::Overloaded));
    EXPECT_TRUE(exchange.begun.empty());
}

TEST_F(ChatStreamRelayTest, append_callerGone_isConnectionLost)
{
    ChatStreamRelay relay = streaming();
    exchange.writesUntilGone = 0;
    EXPECT_EQ(failureCode(append(relay, token("c-1", "a"))), FailureCode::ConnectionLost);
}

TEST_F(ChatStreamRelayTest, finish_notStreamed_putsSplitEventsTogether)
{
    const std::string end = R"(data: {"id":"c-1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})"
                            "\n\n";
    const std::string bytes =
        opening("c-1") + token("c-1", "a\\u00e9") + token("c-1", "b") + end + usage("c-1") + kDone;
    const auto expected = nlohmann::json::parse(
        R"({"id":"c-1","object":"chat.completion","created":5,"choices":[{"index":0,"finish_reason":"stop",
            "message":{"role":"assistant","content":"a\u00e9b"}}],"usage":{"prompt_tokens":3,"completion_tokens":2}})");
    for (std::size_t n = 0; n <= bytes.size(); ++n) {
        exchange = FakeHttpExchange();
        ChatStreamRelay relay = whole();
        ASSERT_TRUE(append(relay, bytes.substr(0, n)).ok());
        ASSERT_TRUE(append(relay, bytes.substr(n)).ok());
        ASSERT_TRUE(exchange.responses.empty());
        ASSERT_TRUE(finish(relay).ok());
        ASSERT_EQ(answer(), expected) << "split at " << n;
    }
    EXPECT_TRUE(exchange.begun.empty());
    EXPECT_EQ(exchange.responses[0].headers.find("Content-Type"), "application/json");
    EXPECT_EQ(exchange.responses[0].headers.find("X-Request-Id"), "r-1");
}

TEST_F(ChatStreamRelayTest, finish_notStreamedToolCalls_areMergedByIndex)
{
    const auto part = [](const std::string &calls) {
        return R"(data: {"id":"c-1","choices":[{"index":0,"delta":{"tool_calls":[)" + calls + "]}}]}\n\n";
    };
    ChatStreamRelay relay = whole();
    ASSERT_TRUE(append(relay,
                       part(R"({"index":0,"id":"t-0","type":"function","function":{"name":"f","arguments":""}})")
                           + part(R"({"index":1,"id":"t-1","function":{"name":"g","arguments":"{}"}})")
                           + part(R"({"index":0,"function":{"arguments":"{\"w\":"}})")
                           + part(R"({"index":0,"function":{"arguments":"2}"}})"))
                    .ok());
    ASSERT_TRUE(finish(relay).ok());
    EXPECT_EQ(answer()["choices"][0]["message"], nlohmann::json::parse(R"({"role":"assistant","content":null,
        "tool_calls":[{"id":"t-0","type":"function","function":{"name":"f","arguments":"{\"w\":2}"}},
                      {"id":"t-1","function":{"name":"g","arguments":"{}"}}]})"));
}

TEST_F(ChatStreamRelayTest, finish_notStreamedErrorOfTheEngine_isPassedAsItIs)
{
    ChatStreamRelay relay = whole();
    relay.setHead(422, "application/json");
    ASSERT_TRUE(append(relay, R"({"error":"no"})").ok());
    ASSERT_TRUE(finish(relay).ok());
    EXPECT_EQ(exchange.responses.at(0).status, 422);
    EXPECT_EQ(exchange.responses.at(0).body, R"({"error":"no"})");
}

// The engine breaks off with an error event inside a good stream. The caller must not take the part for the whole.
TEST_F(ChatStreamRelayTest, finish_notStreamedErrorEvent_isATypedFailure)
{
    ChatStreamRelay relay = whole();
    ASSERT_TRUE(append(relay, token("c-1", "a") + "data: {\"error\":{\"message\":\"gone\"}}\n\n").ok());
    EXPECT_EQ(failureCode(finish(relay)), FailureCode::EndpointFailed);
    EXPECT_TRUE(exchange.responses.empty());
}

TEST_F(ChatStreamRelayTest, restart_onlyBeforeTheCallerHasAPart)
{
    ChatStreamRelay kept = whole();
    ASSERT_TRUE(append(kept, token("c-1", "a")).ok());
    EXPECT_TRUE(kept.restart());
    EXPECT_EQ(kept.deliveredBytes(), "");
    ChatStreamRelay sent = streaming();
    ASSERT_TRUE(append(sent, token("c-1", "a")).ok());
    EXPECT_FALSE(sent.restart());
    EXPECT_EQ(sent.deliveredText(), "a");
}

// Some engines open an answer with a content of null. One that goes on with an answer must not end it by that.
TEST_F(ChatStreamRelayTest, beginContinuation_openingWithNullContent_isLeftOut)
{
    ChatStreamRelay relay = whole();
    ASSERT_TRUE(append(relay, token("c-1", "a")).ok());
    relay.beginContinuation();
    const std::string null = R"(data: {"choices":[{"index":0,"delta":{"role":"assistant","content":null}}]})";
    ASSERT_TRUE(append(relay, null + "\n\n" + token("c-2", "b")).ok());
    EXPECT_EQ(relay.deliveredBytes().find("null"), std::string::npos);
    EXPECT_EQ(relay.deliveredText(), "ab");
}
