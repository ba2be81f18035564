#include "base/failure.h"
#include "callservices.h"
#include "preferredendpointfixture.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// Calls whose endpoint sends nothing for a while: it either pauses and continues, or hangs for good.
class SilentEndpointsTest : public PreferredEndpointFixture
{
protected:
    using Fault = ReplicaServer::Fault;

    static constexpr Duration kPatience = std::chrono::milliseconds(2500);
    /// How late a call that ends at its deadline may be, and how much earlier it may end to allow for the transfer.
    static constexpr Duration kSlack = std::chrono::milliseconds(500);
    static constexpr Duration kTravel = std::chrono::milliseconds(50);

    void SetUp() override
    {
        // The pause has to be longer than the silence after which the gateway looks for another endpoint.
        ASSERT_GT(ReplicaSettings().pause, CallTimes().eventSilenceTimeout);
    }

    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = PreferredEndpointFixture::gatewaySettings();
        if (isRetryBudgetSpent) {
            settings.retryBound = 0;
            settings.retryBurst = 0;
        }
        return settings;
    }

    /// A port that refuses connections and that no other process can get during the test.
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

    /// Makes a call with the timeout `kPatience`, and waits a little longer than that for its answer.
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
        EXPECT_GE(std::chrono::steady_clock::now() - begin, kPatience - kTravel) << "the call was given up early";
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

// Guards against a gateway that drops a paused endpoint although no other endpoint can continue the stream. The only
// endpoint pauses in the middle of a stream for longer than the gateway waits for an event, and then continues, seconds
// before the deadline. The gateway once closed the connection after 1.2 s of silence and only then found that no
// further attempt was allowed. It logged "attempt failed" with silent_for 1200.5ms, noticed_late 0.12ms, unread 0 and
// time_left 7387ms, and in the same millisecond "call failed" with status 200 and further_attempt retry_budget_spent.
TEST_F(SilentEndpointsTest, stream_pausesMidwayAtOnlyEndpoint_isRelayedWhole)
{
    addFault(first, Fault::PauseMidway);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a gateway that drops a paused endpoint although the retry budget is spent. Another endpoint is
// available, but must not be used. The caller gets the whole stream from the first endpoint, which continues after its
// pause.
TEST_F(SilentEndpointsTest, stream_pausesMidwayWithRetryBudgetSpent_isRelayedWholeByOneRun)
{
    isRetryBudgetSpent = true;
    listSecond(second.port());
    addFault(first, Fault::PauseMidway);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a gateway that drops a paused endpoint before another one has taken the stream over. The other
// endpoint is full and refuses. The caller gets the whole stream from the first endpoint, which continues after its
// pause.
TEST_F(SilentEndpointsTest, stream_pausesMidwayWhileOtherRefuses_isRelayedWholeByOneRun)
{
    listSecond(second.port());
    addFault(first, Fault::PauseMidway);
    addFault(second, Fault::Refuse, 10);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a gateway that drops a paused endpoint before another one has taken the stream over. The other
// endpoint is listed, but its address refuses connections. The caller gets the whole stream from the first endpoint.
TEST_F(SilentEndpointsTest, stream_pausesMidwayWhileOtherRefusesConnections_isRelayedWholeByOneRun)
{
    listSecond(closedPort());
    addFault(first, Fault::PauseMidway);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a gateway that drops a paused endpoint before the other one has begun to answer. The other endpoint
// accepts the call and hangs. The caller gets the whole stream from the first endpoint, and the hanging run is
// cancelled.
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

// Guards against a lost answer when the first endpoint pauses before its first byte and the other endpoint hangs. The
// caller gets the answer of the first endpoint, and the hanging run is cancelled.
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

// Guards against a 504 seconds before the deadline. The only endpoint sends nothing before the first byte of a stream
// for longer than the gateway waits for it, and then answers.
TEST_F(SilentEndpointsTest, stream_pausesBeforeHeadAtOnlyEndpoint_isRelayedWhole)
{
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a 504 seconds before the deadline. The only endpoint sends the head of a stream at once and its first
// event only after a pause, so that the gateway has the head of an answer of which the caller has received nothing yet.
TEST_F(SilentEndpointsTest, stream_pausesAfterHeadAtOnlyEndpoint_isRelayedWhole)
{
    addFault(first, Fault::PauseBehindHead);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a 504 while another endpoint is available but the retry budget is spent. The caller gets the answer of
// the only run.
TEST_F(SilentEndpointsTest, stream_pausesBeforeHeadWithRetryBudgetSpent_isRelayedWholeByOneRun)
{
    isRetryBudgetSpent = true;
    listSecond(second.port());
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeStream();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a 504 seconds before the deadline for an unstreamed call whose only endpoint pauses before it answers.
TEST_F(SilentEndpointsTest, safeCall_pausesBeforeHeadAtOnlyEndpoint_isAnswered)
{
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeAnswer();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a 504 for an unstreamed call whose endpoint pauses while the retry budget is spent. Another endpoint
// is available, but must not be used. The caller gets the answer of the only run.
TEST_F(SilentEndpointsTest, safeCall_pausesBeforeHeadWithRetryBudgetSpent_isAnsweredByOneRun)
{
    isRetryBudgetSpent = true;
    listSecond(second.port());
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeAnswer();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a 504 for an unstreamed call whose endpoint pauses while the other endpoint is full and refuses the
// call. The caller gets the answer of the first endpoint.
TEST_F(SilentEndpointsTest, safeCall_pausesBeforeHeadWhileOtherRefuses_isAnsweredByOneRun)
{
    listSecond(second.port());
    addFault(first, Fault::PauseFirst);
    addFault(second, Fault::Refuse, 10);
    start();
    expectWholeAnswer();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a 504 for an unstreamed call whose endpoint pauses while the address of the other endpoint refuses
// connections. The caller gets the answer of the first endpoint.
TEST_F(SilentEndpointsTest, safeCall_pausesBeforeHeadWhileOtherRefusesConnections_isAnsweredByOneRun)
{
    listSecond(closedPort());
    addFault(first, Fault::PauseFirst);
    start();
    expectWholeAnswer();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against gaps and repeated events when an endpoint hangs for good in the middle of a stream. The other endpoint
// continues after the last event, and the hanging run is cancelled so that it does not go on for nobody.
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

// Guards against an unstreamed call that fails when its endpoint hangs for good while another endpoint is available.
// The other endpoint answers the call late, and the hanging run is cancelled.
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

// Guards against lost, repeated or reordered events when the first endpoint pauses in the middle of a stream and
// continues later, while another endpoint is available. Either endpoint may deliver the rest.
TEST_F(SilentEndpointsTest, stream_pausesMidwayAndOtherHasRoom_hasEachEventOnce)
{
    listSecond(second.port());
    addFault(first, Fault::PauseMidway);
    start();
    expectWholeStream();
}

// Guards against lost, repeated or reordered events when both endpoints pause in the middle of the stream.
TEST_F(SilentEndpointsTest, stream_pausesMidwayAtBothEndpoints_hasEachEventOnce)
{
    listSecond(second.port());
    addFault(first, Fault::PauseMidway);
    addFault(second, Fault::PauseMidway);
    start();
    expectWholeStream();
}

// Guards against a caller that waits longer than its timeout. The only endpoint hangs for good in the middle of a
// stream. By the deadline the gateway has to abort the stream, which must not look complete.
TEST_F(SilentEndpointsTest, stream_hangsMidwayAtOnlyEndpoint_isAbortedByDeadline)
{
    addFault(first, Fault::HangMidway);
    start();
    const auto response = callWithPatience(streamRequest("/resumable/a", "call-1"));
    ASSERT_FALSE(response.ok()) << response->status << ' ' << response->body;
    // If the caller had given up by itself, the failure code would be ConnectionSilent.
    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost) << response.status();
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against a wrong "not run" status. The only endpoint runs the call and never answers. By the deadline the
// caller has to be told with a status that leaves the outcome open.
TEST_F(SilentEndpointsTest, safeCall_hangsAtOnlyEndpoint_isRefusedByDeadline)
{
    addFault(first, Fault::Hang);
    start();
    const auto response = callWithPatience(request("/safe/1", "call-1"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 504) << response->body;
    EXPECT_EQ(runs("call-1"), 1);
}

// Guards against wasted work at a stalled endpoint. Callers disconnect from a stream without a first event after two
// seconds, whatever their deadline, and a stalled endpoint notices a close that comes then only seconds later.
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
    EXPECT_GT(taken, std::chrono::milliseconds(1800)) << "the call was given up early";
    EXPECT_EQ(runs("call-1"), 1);
}
