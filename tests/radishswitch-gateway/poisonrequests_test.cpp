#include "base/failure.h"
#include "gatewayfixture.h"

#include <deque>

using namespace RadishSwitch;

/// Requests that crash every endpoint that runs them, at gateways that exchange crash reports through the store.
class PoisonRequestsTest : public GatewayFixture
{
protected:
    static constexpr char kPoison[] = "crashes engines";
    static constexpr int kEndpoints = 8;
    /// Number of crashes after which a request is barred.
    static constexpr int kCrashesUntilBarred = 3;
    /// Maximum time until all gateways bar the request.
    static constexpr Duration kPropagationTime = std::chrono::seconds(3);
    /// Maximum number of crashes after that time.
    static constexpr int kMaximumLateRuns = 3;
    /// Pause between crashes, longer than the time within which crashes are attributed to a common cause.
    static constexpr Duration kPause = std::chrono::milliseconds(700);

    PoisonRequestsTest()
    {
        for (int n = 0; n < kEndpoints; ++n) {
            ReplicaSettings settings = serverSettings("engine-" + std::to_string(n));
            settings.crashingBody = kPoison;
            endpoints.emplace_back(testServers, settings);
            EXPECT_TRUE(endpoints.back().listen(ownAddress(n), 0).ok());
        }
    }

    // The endpoints are destroyed before the members of the base class, so everything that uses them is stopped first.
    ~PoisonRequestsTest() override
    {
        otherGateway.reset();
        gateway.reset();
        testServers.stop();
    }

    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        // Calls must not be refused because the test machine is busy.
        settings.takesAllCalls = true;
        return settings;
    }

    void startTwo()
    {
        onTestServers([this] {
            store.table().remove("servers", "replica-1", std::nullopt);
            for (int n = 0; n < kEndpoints; ++n) {
                Json entry = endpointEntry(endpoints[n].port(), "ready");
                entry["address"] = ownAddress(n) + ":" + std::to_string(endpoints[n].port());
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

    /// Sends the poison request until `count` endpoints have crashed.
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

    /// Waits until a gateway has barred the request; fails the test after `kPropagationTime`.
    void waitUntilBarred(const Gateway &it)
    {
        const auto end = std::chrono::steady_clock::now() + kPropagationTime;
        while (!hasBarred(it)) {
            ASSERT_LT(std::chrono::steady_clock::now(), end) << "the request was not barred in time";
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    std::deque<ReplicaServer> endpoints;

private:
    int m_calls = 0;
};

// Guards against a repeated request that crashes one endpoint after another.
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

// Guards against a repeated request at a gateway that saw none of the crashes.
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

// Guards against crashes that each gateway counts alone, so that each would have to see three crashes itself.
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

// Guards against a gateway that no longer knows the barred requests after a restart.
TEST_F(PoisonRequestsTest, gatewayStartedAfterTheCrashes_refusesTheRequest)
{
    startTwo();
    crash(*gateway, kCrashesUntilBarred);
    waitUntilBarred(*gateway);
    // The other gateway knows the request only once it has read it from the store, where the restarted one finds it
    // too.
    waitUntilBarred(*otherGateway);
    start();
    waitUntilBarred(*gateway);
    const auto refused = send(*gateway, "/once/1", kPoison);
    ASSERT_TRUE(refused.ok()) << refused.status();
    EXPECT_EQ(refused->status, 429) << refused->body;
    EXPECT_EQ(crashes(), kCrashesUntilBarred);
}

// Guards against a request that is repeated so fast that its crashes look like a power loss.
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
