#include "gatewayfixture.h"

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// A gateway that has no processor time for any call, with and without rotation by load.
class OverloadedGatewayTest : public GatewayFixture, public testing::WithParamInterface<bool>
{
protected:
    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        settings.rotatesByLoad = GetParam();
        // Every delay is above this target, so that all calls are refused after the first 120 ms.
        settings.shedding.target = Duration::zero();
        settings.shedding.divertFor = 500ms;
        return settings;
    }

    bool isReady()
    {
        HttpRequest ready;
        ready.target = "/readyz";
        const auto response = fetchFrom(gateway->adminPort(), ready);
        return response.ok() && response->status == 200;
    }
};

// Guards against an overloaded gateway that never tells the load balancer, or stays out of use after the overload.
// Without news of its neighbours a gateway with rotation by load acts as one without.
TEST_P(OverloadedGatewayTest, ready_refusalsForHalfASecond_isNotReadyUntilTheyEnd)
{
    start();
    int refused = 0;
    const auto begunAt = std::chrono::steady_clock::now();
    waitUntil([&] {
        const auto response = call(request("/safe/1", "call"));
        refused += response.ok() && response->status == 503 ? 1 : 0;
        return !isReady();
    });
    EXPECT_GE(std::chrono::steady_clock::now() - begunAt, 500ms);
    EXPECT_GT(refused, 1);

    waitUntil([this] {
        return isReady();
    });
}

INSTANTIATE_TEST_SUITE_P(, OverloadedGatewayTest, testing::Bool());
