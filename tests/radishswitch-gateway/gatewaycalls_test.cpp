#include "base/failure.h"
#include "gatewayfixture.h"

#include <gmock/gmock.h>

using namespace RadishSwitch;

class GatewayCallsTest : public GatewayFixture
{
};

/// A gateway with one accumulated retry, to which calls add no further ones.
class LastRetryTest : public GatewayFixture
{
protected:
    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        settings.retryBound = 0;
        settings.retryBurst = 1;
        return settings;
    }
};

TEST_F(GatewayCallsTest, stream_ofHealthyEndpoint_isRelayedWholeWithSignature)
{
    start();
    const auto response = call(streamRequest("/resumable/a", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, wholeStream("call-1", 10));
    EXPECT_EQ(response->headers.find(PlatformNames::kSignature), "replica-1.call-1");
    EXPECT_EQ(response->headers.find(PlatformNames::kCallId), "call-1");
}

TEST_F(GatewayCallsTest, answer_ofHealthyEndpoint_isRelayedUnchanged)
{
    start();
    const auto response = call(request("/order/1?x=%20y", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, ReplicaServer::bodyText("call-1"));
    const HttpRequest seen = onTestServers([this] {
        return first.lastRequest();
    });
    EXPECT_EQ(seen.target, "/order/1?x=%20y");
    EXPECT_EQ(seen.body, "hello");
}

// Guards against callers that forge the headers by which gateways instruct endpoints. If these were forwarded, the call
// could be billed to another organisation, run with a higher priority, or use the cached data of another caller's call.
TEST_F(GatewayCallsTest, callersFleetHeaders_neverReachEndpoint)
{
    start();
    HttpRequest spoofed = request("/order/1", "call-1");
    spoofed.headers.add(PlatformNames::kOrganisation, "another");
    spoofed.headers.add(PlatformNames::kExpectedEndpoint, "replica-9");
    spoofed.headers.add(PlatformNames::kPriority, "7");
    for (const char *order : PlatformNames::kFleetOrders) {
        spoofed.headers.add(order, "1");
    }
    ASSERT_TRUE(call(std::move(spoofed)).ok());
    const HttpRequest seen = onTestServers([this] {
        return first.lastRequest();
    });
    EXPECT_EQ(seen.headers.find(PlatformNames::kOrganisation), "magnolia");
    EXPECT_EQ(seen.headers.find(PlatformNames::kExpectedEndpoint), "replica-1");
    EXPECT_EQ(seen.headers.find(PlatformNames::kPriority), "0");
    EXPECT_EQ(seen.headers.find(PlatformNames::kAuthorization), std::nullopt);
    for (const char *order : PlatformNames::kFleetOrders) {
        EXPECT_EQ(seen.headers.find(order), std::nullopt) << order;
    }
}

TEST_F(GatewayCallsTest, invalidCalls_getTypedRefusalsAndNeverRun)
{
    start();
    HttpRequest unknownKey = request("/order/1", "call-1");
    unknownKey.headers = {
        {"Host", "shop.example"}, {PlatformNames::kCallId, "call-1"}, {PlatformNames::kAuthorization, "Token x"}};
    HttpRequest withoutId = request("/order/1", "");
    HttpRequest garbledParts = request("/order/1", "call-1");
    garbledParts.headers.add(PlatformNames::kPromptParts, "zz:3");
    HttpRequest tooLarge = request("/order/1", "call-1");
    tooLarge.body = std::string(200'000, 'x');
    const std::vector<std::pair<HttpRequest, int>> cases{{unknownKey, 401},
                                                         {request("/nowhere/1", "call-1"), 404},
                                                         {withoutId, 400},
                                                         {garbledParts, 400},
                                                         {tooLarge, 413}};
    for (const auto &[bad, status] : cases) {
        const auto response = call(bad);
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, status) << response->body;
        EXPECT_EQ(response->headers.find(PlatformNames::kSignature), std::nullopt);
    }
    EXPECT_EQ(runs("call-1"), 0);
}

// Guards against an unsafe call that runs twice. The call runs and its answer is lost. The status has to say that the
// outcome is unknown, since "not run" would make the caller repeat the call.
TEST_F(GatewayCallsTest, unsafeCallWithLostAnswer_outcomeIsUnknownAndRunsOnce)
{
    start();
    addSecond();
    addFaults(ReplicaServer::Fault::LoseAnswer, 1);
    const auto response = call(request("/order/1", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 502);
    EXPECT_EQ(runs("call-1"), 1);
}

TEST_F(GatewayCallsTest, safeCallWithLostAnswer_isAnsweredByAnotherEndpoint)
{
    start();
    addSecond();
    onTestServers([this] {
        first.addFaults(ReplicaServer::Fault::LoseAnswer, 1);
    });
    // Calls go to either endpoint. One of them meets the fault, and is answered nevertheless.
    for (int n = 0; n < 8; ++n) {
        const auto response = call(request("/safe/1", "call-" + std::to_string(n)));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(response->body, ReplicaServer::bodyText("call-" + std::to_string(n)));
    }
}

// Guards against calls to an endpoint that passes its health checks but fails its calls.
TEST_F(GatewayCallsTest, endpointAnsweringWithErrors_isEjected)
{
    constexpr int kCalls = 40;
    start();
    addSecond();
    onTestServers([this] {
        first.addFaults(ReplicaServer::Fault::Fail, kCalls);
    });
    int failed = 0;
    for (int n = 0; n < kCalls; ++n) {
        const auto response = call(request("/order/1", "call-" + std::to_string(n)));
        ASSERT_TRUE(response.ok()) << response.status();
        failed += response->status == 500 ? 1 : 0;
    }
    EXPECT_GE(failed, 1);
    EXPECT_LE(failed, kCalls / 5);
}

// Guards against gaps and partial events in a resumed stream. An endpoint closes the connection in the middle of an
// event. Another endpoint continues after the last complete event, and the partial event is never relayed.
TEST_F(GatewayCallsTest, resumableStreamInterrupted_continuesWithoutGapOrRepetition)
{
    start();
    addSecond();
    onTestServers([this] {
        first.addFaults(ReplicaServer::Fault::BreakOff, 1);
    });
    for (int n = 0; n < 6; ++n) {
        const std::string id = "call-" + std::to_string(n);
        const auto response = call(streamRequest("/resumable/a", id));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->body, wholeStream(id, 10));
    }
}

// Guards against an error answer inside a stream. An endpoint closes the connection, and the endpoint that should
// continue fails with an error status. The caller already has two events, so a second head would corrupt the stream.
// The gateway has to abort the stream instead.
TEST_F(GatewayCallsTest, resumableStreamInterruptedAndResumeFails_isAbortedWithoutErrorBehindEvents)
{
    start();
    addSecond();
    addFaults(ReplicaServer::Fault::BreakOffAndFailToResume, 1);
    const auto response = call(streamRequest("/resumable/a", "call-1"));
    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost) << response.status();
    EXPECT_EQ(runs("call-1"), 2);
}

// Guards against a retry that is used up without being sent. A stream is interrupted while no other endpoint is
// available, so its retry is granted but not sent. Once there is another endpoint, the next interrupted stream needs
// that retry.
TEST_F(LastRetryTest, retryWithoutEndpoint_isReturnedToBudget)
{
    start();
    onTestServers([this] {
        first.addFaults(ReplicaServer::Fault::BreakOff, 1);
    });
    EXPECT_FALSE(call(streamRequest("/resumable/a", "call-1")).ok());
    addSecond();
    onTestServers([this] {
        first.addFaults(ReplicaServer::Fault::BreakOff, 1);
    });
    for (int n = 0; n < 6; ++n) {
        const std::string id = "call-2-" + std::to_string(n);
        const auto response = call(streamRequest("/resumable/a", id));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->body, wholeStream(id, 10));
    }
}

// Guards against an interrupted stream that looks complete or runs again, on a route whose streams cannot be resumed.
TEST_F(GatewayCallsTest, unrepeatableStreamInterrupted_isAbortedAndRunsOnce)
{
    start();
    addSecond();
    addFaults(ReplicaServer::Fault::BreakOff, 1);
    const auto response = call(streamRequest("/once/a", "call-1"));
    EXPECT_FALSE(response.ok());
    EXPECT_EQ(runs("call-1"), 1);
}

TEST_F(GatewayCallsTest, unsafeCallRefusedByFullEndpoint_isNotRunWithRetryAfter)
{
    addFaults(ReplicaServer::Fault::Refuse, 1);
    start();
    const auto response = call(request("/order/1", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 503);
    EXPECT_TRUE(response->headers.find(PlatformNames::kRetryAfter).has_value());
    EXPECT_EQ(runs("call-1"), 0);
}

// Guards against a caller that receives another customer's answer. A duplicate answer to an earlier call arrives on the
// connection in place of the answer to this call.
TEST_F(GatewayCallsTest, strayAnswerOfAnotherCall_isSkipped)
{
    addFaults(ReplicaServer::Fault::StrayAnswerFirst, 1);
    start();
    const auto response = call(request("/order/1", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body, ReplicaServer::bodyText("call-1"));
}

// Guards against an unsafe call that runs twice. Late bytes behind an earlier answer look like a refusal of this call,
// which has run.
TEST_F(GatewayCallsTest, refusalWithoutCallOnReusedConnection_outcomeIsUnknownAndRunsOnce)
{
    start();
    ASSERT_EQ(call(request("/order/1", "earlier"))->status, 200);
    addSecond();
    addFaults(ReplicaServer::Fault::StrayRefusalFirst, 1);
    const auto response = call(request("/order/1", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 502);
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a caller that receives the failure of another call.
TEST_F(GatewayCallsTest, failureWithoutCallOnReusedConnection_outcomeIsUnknownAndRunsOnce)
{
    start();
    ASSERT_EQ(call(request("/order/1", "earlier"))->status, 200);
    addSecond();
    addFaults(ReplicaServer::Fault::StrayFailureFirst, 1);
    const auto response = call(request("/order/1", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 502);
    EXPECT_EQ(runs("call-1"), 1);
}

TEST_F(GatewayCallsTest, unsignedSuccess_isRejected)
{
    addFaults(ReplicaServer::Fault::Unsigned, 1);
    start();
    const auto response = call(request("/order/1", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 502);
}

// Guards against calls that fail because an address was reused. An endpoint ends and another one gets its address,
// while the list still contains the old entry. The new endpoint refuses the calls, and they have to be sent elsewhere.
TEST_F(GatewayCallsTest, reusedAddress_callRunsElsewhere)
{
    start();
    onTestServers([this] {
        putEndpoint("replica-gone", first.port(), "ready");
        putEndpoint("replica-1", first.port(), "draining");
        putEndpoint("replica-2", second.port(), "ready");
    });
    waitUntil([this] {
        const auto response = call(request("/safe/1", "probe"));
        return response.ok() && response->headers.find(PlatformNames::kSignature) == "replica-2.probe";
    });
    for (int n = 0; n < 8; ++n) {
        const auto response = call(request("/safe/1", "call-" + std::to_string(n)));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->headers.find(PlatformNames::kSignature), "replica-2.call-" + std::to_string(n));
    }
}

TEST_F(GatewayCallsTest, callerDisconnects_runAtEndpointEnds)
{
    start();
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), gateway->port()});
    const std::string bytes = std::string("POST /once/a HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token ") + kKey
        + "\r\n" + PlatformNames::kCallId + ": call-1\r\n" + PlatformNames::kTokenBounds
        + ": 100,70000\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(bytes));
    const auto eventsOf = [this] {
        return onTestServers([this] {
            const auto it = first.runs().find("call-1");
            return it == first.runs().end() ? 0 : it->second.events;
        });
    };
    waitUntil([&] {
        return eventsOf() > 3;
    });
    socket.close();
    // A complete run of 10,000 events would take 20 s. It ends early, when a write to the closed connection fails.
    std::int64_t before = -1;
    waitUntil([&] {
        const std::int64_t now = eventsOf();
        const bool hasStopped = now == before;
        before = now;
        HttpRequest pause = request("/safe/1", "pause");
        return call(std::move(pause)).ok() && hasStopped;
    });
    EXPECT_LT(eventsOf(), 9'000);
}
