#include "preferredendpointfixture.h"

#include <algorithm>
#include <thread>

using namespace RadishSwitch;

/// Endpoints that refuse calls and state for how long the gateway should send them none.
class BackedOffEndpointsTest : public PreferredEndpointFixture
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr Duration kPause = Milliseconds(25);
    /// Calls in flight when an endpoint asks for backoff may still arrive within this time.
    static constexpr Duration kInFlightTime = Milliseconds(500);
    /// Maximum number of calls of one gateway that may reach an endpoint during its backoff.
    static constexpr std::size_t kMaximumCalls = 2;
    /// As many calls as a calm machine sends in a second. Fixed, so that the checks don't depend on the machine's
    /// speed.
    static constexpr int kCountedCalls = 33;
    /// Number of calls that an endpoint turns away without a valid backoff. Fixed, since the gateway's pause doubles
    /// with each refusal: 100 ms after the third.
    static constexpr std::size_t kRefusals = 3;
    /// Minimum number of counted calls that reach the first endpoint once it accepts calls again. The calls are at
    /// least `kPause` apart, so that at most four of them come within the pause that follows `kRefusals` refusals.
    static constexpr std::size_t kMinimumArrivals = 28;

    void startWithBoth()
    {
        listSecond(second.port());
        start();
    }

    void turnAway(ReplicaServer &endpoint, std::optional<std::string> backoff)
    {
        onTestServers([&] {
            endpoint.turnAway(backoff);
        });
    }

    /// Sends a call and pauses. Returns whether the call was answered.
    bool sendOne()
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto answer = call(request("/safe/1", "call-" + std::to_string(++m_calls)));
        m_durations.push_back(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin));
        std::this_thread::sleep_for(kPause);
        return answer.ok() && answer->status == 200;
    }

    /// Sends calls during a span.
    void send(Duration span)
    {
        const auto end = std::chrono::steady_clock::now() + span;
        while (std::chrono::steady_clock::now() < end) {
            (void)sendOne();
        }
    }

    /// Sends a number of calls, and returns how many were answered.
    int send(int count)
    {
        int answered = 0;
        for (int n = 0; n < count; ++n) {
            answered += sendOne() ? 1 : 0;
        }
        return answered;
    }

    /// Sends a number of calls, and returns how many of them reached the first endpoint.
    std::size_t arrivalsAtFirst(int count)
    {
        const std::size_t before = arrivalsAt(first);
        send(count);
        return arrivalsAt(first) - before;
    }

    /// Sends calls until the first endpoint has turned `kRefusals` of them away, and returns whether it has.
    bool sendUntilTurnedAway()
    {
        const std::size_t target = arrivalsAt(first) + kRefusals;
        for (int n = 0; n < kCountedCalls && arrivalsAt(first) < target; ++n) {
            (void)sendOne();
        }
        return arrivalsAt(first) >= target;
    }

    /// The median duration of all calls so far.
    Duration medianDuration()
    {
        const auto middle = m_durations.begin() + static_cast<std::ptrdiff_t>(m_durations.size() / 2);
        std::ranges::nth_element(m_durations, middle);
        return *middle;
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
    std::vector<Duration> m_durations;
};

// Guards against calls to an endpoint that has asked for backoff.
TEST_F(BackedOffEndpointsTest, endpointAsksForBackoff_receivesNoCallsUntilItEnds)
{
    startWithBoth();
    turnAway(first, "3");
    const int sent = 4 * kCountedCalls;
    const int answered = send(sent);
    EXPECT_LE(maximumCallsDuringBackoff(first, std::chrono::seconds(3)), kMaximumCalls);
    EXPECT_GE(arrivalsAt(first), 1U);
    // Nearly all are answered, since the other endpoint has room for them.
    EXPECT_GE(answered, sent * 9 / 10);
    // Calls must not be held while one endpoint is backed off. A call takes 6 ms on a calm machine.
    EXPECT_LT(medianDuration(), Milliseconds(100));
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
    EXPECT_GE(arrivalsAt(first), 1U);
}

// Guards against an endpoint that receives no calls after its backoff has ended, or only much later.
TEST_F(BackedOffEndpointsTest, expiredBackoff_endpointReceivesCallsAgain)
{
    startWithBoth();
    turnAway(first, "1");
    send(Milliseconds(500));
    turnAway(first, std::nullopt);
    send(Milliseconds(1500));
    EXPECT_GE(arrivalsAtFirst(kCountedCalls), kMinimumArrivals);
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
        EXPECT_TRUE(sendUntilTurnedAway()) << backoff;
        turnAway(first, std::nullopt);
        EXPECT_GE(arrivalsAtFirst(kCountedCalls), kMinimumArrivals) << backoff;
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
    // The gateway learns of the restart during the first of two seconds of calls.
    EXPECT_GE(arrivalsAtFirst(2 * kCountedCalls), kMinimumArrivals);
}
