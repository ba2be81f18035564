#include "base/failure.h"
#include "callservices.h"
#include "gatewayfixture.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// Calls whose endpoint says nothing for a while: it pauses and goes on, or hangs for good.
///
/// Calls go to the first endpoint as long as they may, since the second one is in another availability zone, very far
/// away.
class SilentEndpointsTest : public GatewayFixture
{
protected:
    using Fault = ReplicaServer::Fault;

    static constexpr Duration kPatience = std::chrono::milliseconds(2500);
    /// What a call that ends at its deadline may be late by, and what it may end sooner for its way to the caller.
    static constexpr Duration kSlack = std::chrono::milliseconds(500);
    static constexpr Duration kTravel = std::chrono::milliseconds(50);

    void SetUp() override
    {
        // A pause that a gateway bears anyway would prove nothing.
        ASSERT_GT(ReplicaSettings().pause, CallTimes().eventSilenceTimeout);
    }

    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        settings.placement.zoneDistance = std::chrono::seconds(100);
        if (isRetryBudgetSpent) {
            settings.retryBound = 0;
            settings.retryBurst = 0;
        }
        return settings;
    }

    /// Lists a second endpoint at an address. Before the gateway starts, so that it is known when that is ready.
    void listSecond(std::uint16_t port)
    {
        onTestServers([this, port] {
            Json entry = endpointEntry(port, "ready");
            entry["zone"] = "far-away";
            putObject("servers", "replica-2", entry);
        });
    }

    /// A port at which nobody takes connections, and which no other process gets meanwhile.
    std::uint16_t closedPort()
    {
        unusedSocket.open(boost::asio::ip::tcp::v4());
        unusedSocket.bind({boost::asio::ip::address_v4::loopback(), 0});
        return unusedSocket.local_endpoint().port();
    }

    void addFault(ReplicaServer &replica, Fault fault, int count = 1)
    {
        onTestServers([&] {
            replica.addFaults(fault, count);
        });
    }

    ReplicaRun runAt(const ReplicaServer &replica, const std::string &call)
    {
        return onTestServers([&] {
            const auto it = replica.runs().find(call);
            return it == replica.runs().end() ? ReplicaRun() : it->second;
        });
    }

    /// What a caller with little patience sees, who waits a little longer than that.
    absl::StatusOr<HttpResponse> callWithPatience(HttpRequest request)
    {
        HttpHeaders headers;
        for (const auto &[name, value] : request.headers.fields()) {
            if (name != PlatformNames::kPatience) {
                headers.add(name, value);
            }
        }
        const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(kPatience);
        headers.add(PlatformNames::kPatience, std::to_string(patience.count()));
        request.headers = std::move(headers);
        const auto begin = std::chrono::steady_clock::now();
        auto response = fetchFrom(gateway->port(), std::move(request), kPatience + kSlack);
        EXPECT_GE(std::chrono::steady_clock::now() - begin, kPatience - kTravel) << "it was given up early";
        return response;
    }

    void expectWholeStream()
    {
        const auto response = call(streamRequest("/resumable/a", "call-1"));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200) << response->body;
        EXPECT_EQ(response->body, wholeStream("call-1", 10));
    }

    void expectWholeAnswer()
    {
        const auto response = call(request("/safe/1", "call-1"));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200) << response->body;
        EXPECT_EQ(response->body, ReplicaServer::bodyText("call-1"));
    }

    bool isRetryBudgetSpent = false;
    boost::asio::io_context sockets;
    boost::asio::ip::tcp::socket unusedSocket{sockets};
};

// The only endpoint pauses in the middle of a stream, for longer than the gateway waits for an event, and goes on. The
// caller gets the whole stream: nobody else could have given it the rest, and the deadline is seconds away. The gateway
// used to close the connection at 1.2 s of silence and to ask only then for another attempt, of which there was none:
// "attempt failed", silent_for 1200.5ms, noticed_late 0.12ms, unread 0, time_left 7387ms, and in the same millisecond
// "call failed", status 200, further_attempt retry_budget_spent.
TEST_F(SilentEndpointsTest, stream_pausesMidwayAtOnlyEndpoint_isRelayedWhole)
{
    addFault(first, Fault::PauseMidway);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// The same where another endpoint has room and no further attempt may be made, since too many were made already. The
// caller gets the whole stream from the endpoint that is at work on it.
TEST_F(SilentEndpointsTest, stream_pausesMidwayWithRetryBudgetSpent_isRelayedWholeByOneRun)
{
    isRetryBudgetSpent = true;
    listSecond(second.port());
    addFault(first, Fault::PauseMidway);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// The same where the other endpoint is full: asked for the rest, it refuses. The caller gets the whole stream from the
// first endpoint, which has not ended and goes on.
TEST_F(SilentEndpointsTest, stream_pausesMidwayWhileOtherRefuses_isRelayedWholeByOneRun)
{
    listSecond(second.port());
    addFault(first, Fault::PauseMidway);
    addFault(second, Fault::Refuse, 10);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// The same where the other endpoint is listed and gone: nobody takes connections at its address. The caller gets the
// whole stream from the first endpoint.
TEST_F(SilentEndpointsTest, stream_pausesMidwayWhileOtherRefusesConnections_isRelayedWholeByOneRun)
{
    listSecond(closedPort());
    addFault(first, Fault::PauseMidway);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// The same where the other endpoint takes the call and hangs. It refuses nothing, and never answers; the caller gets
// the whole stream from the first endpoint, which is kept until the other has begun to answer.
TEST_F(SilentEndpointsTest, stream_pausesMidwayWhileOtherHangs_isRelayedWhole)
{
    listSecond(second.port());
    addFault(first, Fault::PauseMidway);
    addFault(second, Fault::Hang);
    start();
    expectWholeStream();
    waitUntil([this] {
        return runAt(second, "call-1").left == 1;
    });
}

// The same where the pause comes before the first byte.
// The caller gets the first endpoint's answer, and the run that hangs is left.
TEST_F(SilentEndpointsTest, stream_pausesBeforeHeadWhileOtherHangs_isRelayedWhole)
{
    listSecond(second.port());
    addFault(first, Fault::PauseFirst);
    addFault(second, Fault::Hang);
    start();
    expectWholeStream();
    waitUntil([this] {
        return runAt(second, "call-1").left == 1;
    });
}

// The only endpoint says nothing before the first byte of a stream, for longer than the gateway waits for it, and then
// answers. The caller gets the answer and not a 504 with seconds left.
TEST_F(SilentEndpointsTest, stream_pausesBeforeHeadAtOnlyEndpoint_isRelayedWhole)
{
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// The same with a head that comes at once and a first event that does not. The gateway has an answer and the caller has
// nothing of it yet.
TEST_F(SilentEndpointsTest, stream_pausesAfterHeadAtOnlyEndpoint_isRelayedWhole)
{
    addFault(first, Fault::PauseBehindHead);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// The same where another endpoint has room and no further attempt may be made. The caller gets the answer of the one
// run.
TEST_F(SilentEndpointsTest, stream_pausesBeforeHeadWithRetryBudgetSpent_isRelayedWholeByOneRun)
{
    isRetryBudgetSpent = true;
    listSecond(second.port());
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// A call that is answered as a whole meets the same pause at the only endpoint. The caller gets the answer and not a
// 504 with seconds left.
TEST_F(SilentEndpointsTest, safeCall_pausesBeforeHeadAtOnlyEndpoint_isAnswered)
{
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeAnswer();
    EXPECT_EQ(runs("call-1"), 1);
}

// The same where another endpoint has room and no further attempt may be made.
// The caller gets the answer of the one run.
TEST_F(SilentEndpointsTest, safeCall_pausesBeforeHeadWithRetryBudgetSpent_isAnsweredByOneRun)
{
    isRetryBudgetSpent = true;
    listSecond(second.port());
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeAnswer();
    EXPECT_EQ(runs("call-1"), 1);
}

// The same where the other endpoint is full: asked as well, it refuses.
// The caller gets the first endpoint's answer.
TEST_F(SilentEndpointsTest, safeCall_pausesBeforeHeadWhileOtherRefuses_isAnsweredByOneRun)
{
    listSecond(second.port());
    addFault(first, Fault::PauseFirst);
    addFault(second, Fault::Refuse, 10);
    start();
    expectWholeAnswer();
    EXPECT_EQ(runs("call-1"), 1);
}

// The same where nobody takes connections at the other endpoint's address.
// The caller gets the first endpoint's answer.
TEST_F(SilentEndpointsTest, safeCall_pausesBeforeHeadWhileOtherRefusesConnections_isAnsweredByOneRun)
{
    listSecond(closedPort());
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeAnswer();
    EXPECT_EQ(runs("call-1"), 1);
}

// An endpoint hangs for good in the middle of a stream, and another has room. The caller sees no gap and no event
// twice: the other goes on behind the last event. The run that hangs is left, so that it works for nobody no longer.
TEST_F(SilentEndpointsTest, stream_hangsMidwayAndOtherHasRoom_continuesThereAndFirstRunIsCancelled)
{
    listSecond(second.port());
    addFault(first, Fault::HangMidway);
    start();
    expectWholeStream();
    EXPECT_EQ(runAt(second, "call-1").runs, 1);
    waitUntil([this] {
        return runAt(first, "call-1").left == 1;
    });
}

// The same with a call that is answered as a whole: the other endpoint answers it, and the run that hangs is left.
// The caller sees a late answer.
TEST_F(SilentEndpointsTest, safeCall_hangsAndOtherHasRoom_isAnsweredThereAndFirstRunIsCancelled)
{
    listSecond(second.port());
    addFault(first, Fault::Hang);
    start();
    expectWholeAnswer();
    EXPECT_EQ(runAt(second, "call-1").runs, 1);
    waitUntil([this] {
        return runAt(first, "call-1").left == 1;
    });
}

// An endpoint pauses in the middle of a stream, another has room, and the first goes on later. Whichever of them gives
// the rest, the caller gets each event once and in order.
TEST_F(SilentEndpointsTest, stream_pausesMidwayAndOtherHasRoom_hasEachEventOnce)
{
    listSecond(second.port());
    addFault(first, Fault::PauseMidway);
    start();
    expectWholeStream();
}

// An endpoint pauses in the middle of a stream, and so does the one that is asked to go on. The caller gets each event
// once and in order, whichever gave it.
TEST_F(SilentEndpointsTest, stream_pausesMidwayAtBothEndpoints_hasEachEventOnce)
{
    listSecond(second.port());
    addFault(first, Fault::PauseMidway);
    addFault(second, Fault::PauseMidway);
    start();
    expectWholeStream();
}

// The only endpoint hangs for good in the middle of a stream. The caller is not left waiting for longer than it said:
// by its deadline the stream is cut, and does not look complete.
TEST_F(SilentEndpointsTest, stream_hangsMidwayAtOnlyEndpoint_isAbortedByDeadline)
{
    addFault(first, Fault::HangMidway);
    start();
    const auto response = callWithPatience(streamRequest("/resumable/a", "call-1"));
    ASSERT_FALSE(response.ok()) << response->status << ' ' << response->body;
    // Had the caller given up by itself, it would be for silence.
    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost) << response.status();
    EXPECT_EQ(runs("call-1"), 1);
}

// The only endpoint never answers a call. The caller is told so by its deadline, with a status that promises nothing:
// the call has run.
TEST_F(SilentEndpointsTest, safeCall_hangsAtOnlyEndpoint_isRefusedByDeadline)
{
    addFault(first, Fault::Hang);
    start();
    const auto response = callWithPatience(request("/safe/1", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 504) << response->body;
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against work for nobody at an endpoint that stands still: callers leave a stream without a first event after
// two seconds, whatever their deadline, and a close that comes then is read seconds later.
TEST_F(SilentEndpointsTest, stream_hangsBeforeHeadAtOnlyEndpoint_isRefusedBeforeCallerGivesUp)
{
    addFault(first, Fault::Hang);
    start();
    const auto begin = std::chrono::steady_clock::now();
    const auto response = call(streamRequest("/once/a", "call-1"));
    const auto taken = std::chrono::steady_clock::now() - begin;
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 504) << response->body;
    EXPECT_LT(taken, std::chrono::milliseconds(2000));
    EXPECT_GT(taken, std::chrono::milliseconds(1800)) << "it was given up early";
    EXPECT_EQ(runs("call-1"), 1);
}
