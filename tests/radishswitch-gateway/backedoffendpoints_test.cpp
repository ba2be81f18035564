#include "gatewayfixture.h"

#include <algorithm>
#include <thread>

using namespace RadishSwitch;

/// Endpoints that refuse calls and state for how long the gateway should send them none.
class BackedOffEndpointsTest : public GatewayFixture
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr Duration kPause = Milliseconds(25);
    /// Calls in flight when an endpoint asks for backoff may still arrive within this time.
    static constexpr Duration kInFlightTime = Milliseconds(500);
    /// Maximum number of calls of one gateway that may reach an endpoint during its backoff.
    static constexpr std::size_t kMaximumCalls = 2;

    void startWithBoth()
    {
        start();
        addSecond();
    }

    void turnAway(ReplicaServer &endpoint, std::optional<std::string> backoff)
    {
        onTestServers([&] {
            endpoint.turnAway(backoff);
        });
    }

    /// Sends calls during a span, and returns how many were answered.
    int send(Duration span, const std::string &target = "/safe/1")
    {
        int answered = 0;
        const auto end = std::chrono::steady_clock::now() + span;
        while (std::chrono::steady_clock::now() < end) {
            const auto answer = call(request(target, "call-" + std::to_string(++m_calls)));
            answered += answer.ok() && answer->status == 200 ? 1 : 0;
            std::this_thread::sleep_for(kPause);
        }
        return answered;
    }

    /// The maximum number of calls that reached the endpoint during one of its backoffs, without those in flight.
    std::size_t maximumCallsDuringBackoff(const ReplicaServer &endpoint, Duration backoff)
    {
        return onTestServers([&] {
            std::size_t most = 0;
            const std::vector<Instant> &arrivals = endpoint.arrivals();
            for (const Instant demand : endpoint.demands()) {
                const auto first = std::ranges::lower_bound(arrivals, demand + kInFlightTime);
                const auto last = std::ranges::lower_bound(arrivals, demand + backoff);
                most = std::max(most, static_cast<std::size_t>(std::max(last - first, std::ptrdiff_t(0))));
            }
            return most;
        });
    }

    std::size_t arrivalsAt(const ReplicaServer &endpoint)
    {
        return onTestServers([&endpoint] {
            return endpoint.arrivals().size();
        });
    }

private:
    int m_calls = 0;
};

// Guards against calls to an endpoint that has asked for backoff.
TEST_F(BackedOffEndpointsTest, endpointAsksForBackoff_receivesNoCallsUntilItEnds)
{
    startWithBoth();
    turnAway(first, "3");
    const int answered = send(std::chrono::seconds(4));
    EXPECT_LE(maximumCallsDuringBackoff(first, std::chrono::seconds(3)), kMaximumCalls);
    // Nearly all of about 150 calls are answered, since the other endpoint has room for them.
    EXPECT_GE(answered, 100);
}

// Guards against a backoff that is ignored by further attempts, by streams, or by calls that must not be repeated.
TEST_F(BackedOffEndpointsTest, callsOfAllKinds_respectBackoff)
{
    startWithBoth();
    turnAway(first, "3");
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
        const std::string id = "mixed-" + std::to_string(n);
        (void)call(n % 2 == 0 ? streamRequest(n % 4 == 0 ? "/resumable/1" : "/once/1", id) : request("/order/1", id));
        std::this_thread::sleep_for(kPause / 2);
    }
    EXPECT_LE(maximumCallsDuringBackoff(first, std::chrono::seconds(3)), kMaximumCalls);
}

// Guards against an endpoint that receives no calls after its backoff has ended, or only much later.
TEST_F(BackedOffEndpointsTest, expiredBackoff_endpointReceivesCallsAgain)
{
    startWithBoth();
    turnAway(first, "1");
    send(Milliseconds(500));
    turnAway(first, std::nullopt);
    send(Milliseconds(1500));
    const std::size_t before = arrivalsAt(first);
    send(std::chrono::seconds(1));
    EXPECT_GE(arrivalsAt(first) - before, 5U);
}

// Guards against callers that wait until their deadline, or retry too early, while all endpoints have asked for
// backoff.
TEST_F(BackedOffEndpointsTest, allEndpointsBackedOff_callIsRefusedAtOnceWithEarliestRetryAfter)
{
    startWithBoth();
    turnAway(first, "6");
    turnAway(second, "4");
    send(Milliseconds(500));
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = call(request("/order/1", "told"));
    ASSERT_TRUE(answer.ok());
    EXPECT_LT(std::chrono::steady_clock::now() - begin, Milliseconds(500));
    EXPECT_EQ(answer->status, 503);
    const double retryAfter = std::stod(answer->headers.find(PlatformNames::kRetryAfter).value_or("0"));
    EXPECT_GT(retryAfter, 2.5);
    EXPECT_LT(retryAfter, 6.0);
    EXPECT_EQ(runs("told"), 0);
}

// Guards against an endpoint that receives no calls because of a malformed Retry-After, and against a gateway that
// fails on such a header.
TEST_F(BackedOffEndpointsTest, malformedBackoff_isIgnored)
{
    startWithBoth();
    for (const std::string backoff : {"soon", "-3", "nan", "inf", "3 s", "0", ""}) {
        turnAway(first, backoff);
        send(Milliseconds(200));
        turnAway(first, std::nullopt);
        const std::size_t before = arrivalsAt(first);
        send(std::chrono::seconds(1));
        EXPECT_GE(arrivalsAt(first) - before, 5U) << backoff;
    }
}

// Guards against a restarted endpoint that receives no calls because of the backoff of its earlier incarnation.
TEST_F(BackedOffEndpointsTest, restartedEndpoint_isFreeOfEarlierBackoff)
{
    startWithBoth();
    turnAway(first, "60");
    send(Milliseconds(500));
    turnAway(first, std::nullopt);
    onTestServers([this] {
        putObject("servers", "replica-1", endpointEntry(first.port(), "ready", 2'000));
    });
    const std::size_t before = arrivalsAt(first);
    send(std::chrono::seconds(2));
    EXPECT_GE(arrivalsAt(first) - before, 5U);
}
