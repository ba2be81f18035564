#include "gatewayfixture.h"

#include <absl/strings/numbers.h>

#include <thread>

using namespace RadishSwitch;

/// A gateway whose settings name a link of 1 Mbit/s, which a body of 90 kB fills for 0.7 s in each direction.
class NarrowLinkTest : public GatewayFixture
{
protected:
    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        settings.linkMbps = 1;
        settings.hasIntakeBudget = hasIntakeBudget;
        return settings;
    }

    static HttpRequest largeRequest(const std::string &call)
    {
        HttpRequest it = request("/safe/1", call);
        it.body = std::string(90'000, 'x');
        return it;
    }

    bool hasIntakeBudget = true;
};

// Guards against a gateway that counts no bytes, or answers a refused call in a way that callers can't repeat: the link
// is full after a large call, the next one is refused with the time to come back, and is served after that.
TEST_F(NarrowLinkTest, call_afterALargeOne_isRefusedUntilTheLinkHasRoom)
{
    start();
    const auto large = call(largeRequest("c1"));
    ASSERT_TRUE(large.ok()) << large.status();
    ASSERT_EQ(large->status, 200);

    const auto refused = call(request("/safe/1", "c2"));
    ASSERT_TRUE(refused.ok()) << refused.status();
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(runs("c2"), 0);
    double seconds = 0;
    ASSERT_TRUE(absl::SimpleAtod(refused->headers.find(PlatformNames::kRetryAfter).value_or(""), &seconds));
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    const auto retried = call(request("/safe/1", "c2"));
    ASSERT_TRUE(retried.ok()) << retried.status();
    EXPECT_EQ(retried->status, 200);
}

// Guards against refusals by a part that is switched off.
TEST_F(NarrowLinkTest, call_afterALargeOneWithoutTheBudget_isServed)
{
    hasIntakeBudget = false;
    start();
    for (int n = 0; n < 5; ++n) {
        const auto response = call(largeRequest("c" + std::to_string(n)));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200);
    }
}
