#include "gatewayfixture.h"

#include <atomic>
#include <thread>

using namespace RadishSwitch;

/// Three gateways of which one gets nearly all new connections for some seconds, as a load balancer may hand them out,
/// while callers open connections twice as often.
class UnevenConnectionsTest : public GatewayFixture
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kCallers = 6;
    static constexpr Milliseconds kPause{20};
    static constexpr double kRequiredShare = 0.75;
    static constexpr Duration kStableWindow = std::chrono::seconds(3);

    struct Count {
        int read = 0;
        int served = 0;

        double share() const
        {
            return static_cast<double>(served) / std::max(read, 1);
        }
    };

    ~UnevenConnectionsTest() override
    {
        thirdGateway.reset();
    }

    void startFleet()
    {
        start();
        addSecond();
        startOther();
        GatewaySettings settings = gatewaySettings();
        settings.instance = "third-gateway";
        thirdGateway = startGateway(settings);
    }

    /// Calls on new connections for a time, one in twenty of them spread evenly and the others at the gateway that
    /// `isUneven` prefers. Counts the calls that a gateway has read.
    Count callFor(Duration span, bool isUneven, Milliseconds pause)
    {
        const std::uint16_t ports[] = {gateway->port(), otherGateway->port(), thirdGateway->port()};
        const auto end = std::chrono::steady_clock::now() + span;
        std::atomic<int> read = 0;
        std::atomic<int> served = 0;
        std::vector<std::thread> threads;
        for (int caller = 0; caller < kCallers; ++caller) {
            threads.emplace_back([&, caller] {
                for (int n = caller; std::chrono::steady_clock::now() < end; n += kCallers) {
                    const std::size_t to = isUneven && n % 20 != 0 ? 0 : static_cast<std::size_t>(n % 3);
                    const std::string id = "call-" + std::to_string(++calls);
                    HttpRequest it = n % 2 == 0 ? streamRequest("/resumable/1", id) : request("/safe/1", id);
                    it.headers.add("Connection", "close");
                    const auto answer = fetchFrom(ports[to], std::move(it), std::chrono::seconds(4));
                    read += answer.ok() ? 1 : 0;
                    served += answer.ok() && answer->status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(pause);
                }
            });
        }
        for (std::thread &it : threads) {
            it.join();
        }
        return {read, served};
    }

    std::unique_ptr<Gateway> thirdGateway;
    std::atomic<int> calls = 0;
};

// Guards against a gateway that serves a smaller part of its callers while it gets nearly all of the fleet's.
TEST_F(UnevenConnectionsTest, gatewayWithMostNewConnections_servesThemAsBefore)
{
    startFleet();
    const Count before = callFor(std::chrono::seconds(2), false, kPause);
    (void)callFor(kStableWindow, true, kPause / 2);
    const Count during = callFor(std::chrono::seconds(3), true, kPause / 2);
    ASSERT_GT(before.read, 50);
    ASSERT_GT(during.read, 100);
    EXPECT_GE(during.share(), kRequiredShare * before.share()) << during.served << " of " << during.read;
}

// Guards against the same once the next gateway gets them.
TEST_F(UnevenConnectionsTest, gatewayThatGetsThemNext_servesThemAsBefore)
{
    startFleet();
    const Count before = callFor(std::chrono::seconds(2), false, kPause);
    (void)callFor(kStableWindow, true, kPause / 2);
    std::swap(gateway, otherGateway);
    const Count during = callFor(std::chrono::seconds(3), true, kPause / 2);
    EXPECT_GE(during.share(), kRequiredShare * before.share()) << during.served << " of " << during.read;
}
