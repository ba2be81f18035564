#include "base/failure.h"
#include "gatewayfixture.h"

#include <unistd.h>

#include <deque>

using namespace RadishSwitch;

/// Requests that crash each endpoint that runs them, at gateways that know one another through the store.
class PoisonRequestsTest : public GatewayFixture
{
protected:
    static constexpr char kPoison[] = "crashes engines";
    static constexpr int kEndpoints = 8;
    /// Ends under one request until it is refused.
    static constexpr int kCrashesUntilBarred = 3;
    /// How soon after it all gateways have to know.
    static constexpr Duration kPropagationTime = std::chrono::seconds(3);
    /// Runs that may be sent later than that.
    static constexpr int kMaximumLateRuns = 3;
    /// Longer than the moment in which crashes may have a cause in common.
    static constexpr Duration kPause = std::chrono::milliseconds(700);

    PoisonRequestsTest()
    {
        for (int n = 0; n < kEndpoints; ++n) {
            ReplicaSettings settings;
            settings.id = "engine-" + std::to_string(n);
            settings.crashingBody = kPoison;
            endpoints.emplace_back(testServers, settings);
            EXPECT_TRUE(endpoints.back().listen(address(n), 0).ok());
        }
    }

    // The endpoints end before the rest of the fixture: nothing may use them any more.
    ~PoisonRequestsTest() override
    {
        otherGateway.reset();
        gateway.reset();
        testServers.stop();
    }

    /// Of this process alone: on an address that others use too, one of them may get the port of an endpoint that has
    /// crashed, and take connections there.
    static std::string address(int n)
    {
        const int process = ::getpid();
        return "127." + std::to_string((process >> 8) % 256) + "." + std::to_string(process % 256) + "."
            + std::to_string(n + 2);
    }

    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        // A busy machine is no reason to refuse what is looked at here.
        settings.takesAllCalls = true;
        return settings;
    }

    void startTwo()
    {
        onTestServers([this] {
            store.table().remove("servers", "replica-1", std::nullopt);
            for (int n = 0; n < kEndpoints; ++n) {
                Json entry = endpointEntry(endpoints[n].port(), "ready");
                entry["address"] = address(n) + ":" + std::to_string(endpoints[n].port());
                putObject("servers", "engine-" + std::to_string(n), entry);
            }
        });
        start();
        startOther();
    }

    absl::StatusOr<HttpResponse> send(Gateway &to, const std::string &target, const std::string &body)
    {
        HttpRequest it = request(target, "call-" + std::to_string(++m_calls));
        it.body = body;
        return fetchFrom(to.port(), std::move(it));
    }

    int crashes()
    {
        return onTestServers([this] {
            return static_cast<int>(std::ranges::count_if(endpoints, &ReplicaServer::hasCrashed));
        });
    }

    /// Sends the request until so many endpoints have ended under it.
    void crash(Gateway &to, int count, Duration pause = kPause)
    {
        while (crashes() < count) {
            ASSERT_TRUE(send(to, "/once/1", kPoison).ok());
            std::this_thread::sleep_for(pause);
        }
    }

    bool hasBarred(const Gateway &it)
    {
        HttpRequest metrics;
        metrics.target = "/metrics";
        const auto response = fetchFrom(it.adminPort(), metrics);
        return response.ok() && response->body.find("\nradishswitch_requests_barred 1") != std::string::npos;
    }

    /// Waits until a gateway refuses the request, for as long as it may take.
    void waitUntilBarred(const Gateway &it)
    {
        const auto end = std::chrono::steady_clock::now() + kPropagationTime;
        while (!hasBarred(it)) {
            ASSERT_LT(std::chrono::steady_clock::now(), end) << "it is not barred";
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    std::deque<ReplicaServer> endpoints;

private:
    int m_calls = 0;
};

// Guards against a request that ends one endpoint after the other as often as it is repeated.
TEST_F(PoisonRequestsTest, requestThatCrashedThreeEndpoints_isRefusedUnsent)
{
    startTwo();
    crash(*gateway, kCrashesUntilBarred);
    waitUntilBarred(*gateway);
    for (int n = 0; n < 3; ++n) {
        const auto refused = send(*gateway, "/once/1", kPoison);
        ASSERT_TRUE(refused.ok()) << refused.status();
        EXPECT_EQ(refused->status, 429) << refused->body;
        EXPECT_TRUE(refused->headers.find("Retry-After").has_value());
        EXPECT_NE(refused->body.find("\"not_run\""), std::string::npos) << refused->body;
    }
    EXPECT_EQ(crashes(), kCrashesUntilBarred);
    const auto served = send(*gateway, "/safe/1", "hello");
    ASSERT_TRUE(served.ok()) << served.status();
    EXPECT_EQ(served->status, 200) << served->body;
}

// Guards against repeats that come to a gateway which saw none of the crashes.
TEST_F(PoisonRequestsTest, requestThatCrashedEndpointsOfAnotherGateway_isRefusedUnsent)
{
    startTwo();
    crash(*gateway, kCrashesUntilBarred);
    waitUntilBarred(*otherGateway);
    const auto refused = send(*otherGateway, "/once/1", kPoison);
    ASSERT_TRUE(refused.ok()) << refused.status();
    EXPECT_EQ(refused->status, 429) << refused->body;
    EXPECT_EQ(crashes(), kCrashesUntilBarred);
}

// Guards against a count at each gateway alone, where each would have to see three crashes for itself.
TEST_F(PoisonRequestsTest, requestThatCrashedEndpointsOfTwoGateways_isRefusedAtBoth)
{
    startTwo();
    crash(*gateway, 2);
    crash(*otherGateway, kCrashesUntilBarred);
    for (Gateway *it : {gateway.get(), otherGateway.get()}) {
        waitUntilBarred(*it);
        const auto refused = send(*it, "/once/1", kPoison);
        ASSERT_TRUE(refused.ok()) << refused.status();
        EXPECT_EQ(refused->status, 429) << refused->body;
    }
    EXPECT_EQ(crashes(), kCrashesUntilBarred);
}

// Guards against a gateway that forgets with its restart what the fleet knows.
TEST_F(PoisonRequestsTest, gatewayStartedAfterTheCrashes_refusesTheRequest)
{
    startTwo();
    crash(*gateway, kCrashesUntilBarred);
    waitUntilBarred(*gateway);
    // Until then others can't know.
    waitUntilBarred(*otherGateway);
    start();
    waitUntilBarred(*gateway);
    const auto refused = send(*gateway, "/once/1", kPoison);
    ASSERT_TRUE(refused.ok()) << refused.status();
    EXPECT_EQ(refused->status, 429) << refused->body;
    EXPECT_EQ(crashes(), kCrashesUntilBarred);
}

// Guards against a request that is repeated faster than its crashes can be told from a loss of power.
TEST_F(PoisonRequestsTest, rapidlyRepeatedPoisonRequest_isSentAtMostThreeTimesLater)
{
    startTwo();
    crash(*gateway, kCrashesUntilBarred, std::chrono::milliseconds(10));
    std::this_thread::sleep_for(kPropagationTime);
    const int known = crashes();
    for (int n = 0; n < 2 * kEndpoints; ++n) {
        ASSERT_TRUE(send(n % 2 == 0 ? *gateway : *otherGateway, "/once/1", kPoison).ok());
        std::this_thread::sleep_for(kPause);
    }
    EXPECT_LE(crashes() - known, kMaximumLateRuns);
}
