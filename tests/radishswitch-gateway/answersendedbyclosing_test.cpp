#include "gatewayfixture.h"

using namespace RadishSwitch;

/// Endpoints whose answers have neither a length nor chunks and end with their connections.
class AnswersEndedByClosingTest : public GatewayFixture
{
protected:
    void startFleet()
    {
        onTestServers([this] {
            first.endAnswersByClosing(true);
            second.endAnswersByClosing(true);
        });
        start();
        addSecond();
    }
};

TEST_F(AnswersEndedByClosingTest, wholeAnswer_isRelayedWhole)
{
    startFleet();
    for (const std::string target : {"/safe/1", "/order/1"}) {
        for (int n = 0; n < 3; ++n) {
            const std::string id = "call" + target.substr(1, 4) + std::to_string(n);
            const auto response = call(request(target, id));
            ASSERT_TRUE(response.ok()) << response.status();
            EXPECT_EQ(response->status, 200);
            EXPECT_EQ(response->body, ReplicaServer::bodyText(id));
            EXPECT_EQ(runs(id), 1);
        }
    }
}

TEST_F(AnswersEndedByClosingTest, wholeStream_isRelayedWhole)
{
    startFleet();
    for (const std::string target : {"/resumable/1", "/once/1"}) {
        const std::string id = "stream" + target.substr(1, 4);
        const auto response = call(streamRequest(target, id));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->body, wholeStream(id, 10));
        EXPECT_EQ(runs(id), 1);
    }
}

// Guards against a stream that is passed on as complete though its endpoint broke off inside an event.
TEST_F(AnswersEndedByClosingTest, resumableStreamEndedInsideEvent_continuesWithoutGapOrRepetition)
{
    startFleet();
    onTestServers([this] {
        first.addFaults(ReplicaServer::Fault::BreakOff, 1);
    });
    for (int n = 0; n < 8; ++n) {
        const std::string id = "stream" + std::to_string(n);
        const auto response = call(streamRequest("/resumable/1", id));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->body, wholeStream(id, 10));
    }
}

// Guards against the same for a stream that can't be continued: its caller must see that it is cut short.
TEST_F(AnswersEndedByClosingTest, unrepeatableStreamEndedInsideEvent_isCutShortForItsCaller)
{
    startFleet();
    addFaults(ReplicaServer::Fault::BreakOff, 1);
    const auto response = call(streamRequest("/once/1", "stream"));
    EXPECT_FALSE(response.ok()) << response->status << " " << response->body;
    EXPECT_EQ(runs("stream"), 1);
}

// Guards against an answer without any event that is passed on as complete, where its endpoint ended behind the head.
TEST_F(AnswersEndedByClosingTest, streamEndedBeforeItsFirstEvent_isNoSuccess)
{
    startFleet();
    addFaults(ReplicaServer::Fault::EndBehindHead, 1);
    const auto response = call(streamRequest("/once/1", "stream"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 502) << response->body;
    EXPECT_EQ(runs("stream"), 1);
}

// Guards against a call that is sent on a connection that has ended with the answer before.
TEST_F(AnswersEndedByClosingTest, connectionOfEndedAnswer_isNotUsedAgain)
{
    startFleet();
    for (int n = 0; n < 20; ++n) {
        const std::string id = "order" + std::to_string(n);
        const auto response = call(request("/order/1", id));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200) << response->body;
        EXPECT_EQ(runs(id), 1);
    }
}

// Guards against whole answers of endpoints without a report that are held for broken off.
TEST_F(AnswersEndedByClosingTest, answersOfEndpointsWithoutReport_areRelayedWhole)
{
    startFleet();
    onTestServers([this] {
        first.setReportText("no report");
        second.setReportText("no report");
    });
    const auto order = call(request("/order/1", "order"));
    ASSERT_TRUE(order.ok()) << order.status();
    EXPECT_EQ(order->body, ReplicaServer::bodyText("order"));
    const auto stream = call(streamRequest("/once/1", "stream"));
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_EQ(stream->body, wholeStream("stream", 10));
}

// Guards against a process that started at another time and is taken for the one that wrote the answer.
TEST_F(AnswersEndedByClosingTest, orderAnsweredByAnotherStartThanReported_isNoSuccess)
{
    startFleet();
    onTestServers([this] {
        const std::string report = R"({"born":2000,"queued":0,"active":0,"kv-used":0,"kv-total":1})";
        first.setReportText(report);
        second.setReportText(report);
    });
    const auto order = call(request("/order/1", "order"));
    ASSERT_TRUE(order.ok()) << order.status();
    EXPECT_EQ(order->status, 502) << order->body;
    EXPECT_EQ(runs("order"), 1);
}
