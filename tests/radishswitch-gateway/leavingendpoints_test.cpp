#include "gatewayfixture.h"

#include <thread>

using namespace RadishSwitch;

/// Endpoints that announce in their answers that they are leaving, while the list still states that they are ready.
class LeavingEndpointsTest : public GatewayFixture
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr Duration kPause = Milliseconds(20);

    void startWithBoth()
    {
        start();
        addSecond();
    }

    void leave(ReplicaServer &endpoint)
    {
        onTestServers([&] {
            endpoint.leave();
        });
    }

    std::size_t arrivalsAt(const ReplicaServer &endpoint)
    {
        return onTestServers([&endpoint] {
            return endpoint.arrivals().size();
        });
    }

    /// Sends calls until the endpoint has received one, and returns how many reach it during the second after that.
    std::size_t arrivalsAfterNotice(const ReplicaServer &endpoint, const HttpRequest &prototype)
    {
        const std::size_t before = arrivalsAt(endpoint);
        while (arrivalsAt(endpoint) == before) {
            send(prototype);
        }
        const std::size_t atNotice = arrivalsAt(endpoint);
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
        while (std::chrono::steady_clock::now() < end) {
            send(prototype);
            std::this_thread::sleep_for(kPause);
        }
        return arrivalsAt(endpoint) - atNotice;
    }

    void send(HttpRequest prototype)
    {
        HttpHeaders headers{{PlatformNames::kCallId, "leaving-" + std::to_string(++m_calls)}};
        for (const auto &[name, value] : prototype.headers.fields()) {
            if (name != PlatformNames::kCallId) {
                headers.add(name, value);
            }
        }
        prototype.headers = headers;
        (void)call(prototype);
    }

private:
    int m_calls = 0;
};

// Guards against a leaving endpoint that receives calls until the list is updated.
TEST_F(LeavingEndpointsTest, endpointAnnouncesLeaving_receivesNoMoreCalls)
{
    startWithBoth();
    leave(first);
    EXPECT_EQ(arrivalsAfterNotice(first, request("/safe/1", "")), 0U);
}

// Guards against an announcement that is only read from unstreamed answers.
TEST_F(LeavingEndpointsTest, leavingInStreamHead_isRespected)
{
    startWithBoth();
    leave(first);
    EXPECT_EQ(arrivalsAfterNotice(first, streamRequest("/once/1", "")), 0U);
}

// Guards against an announcement that is not read from refusals.
TEST_F(LeavingEndpointsTest, leavingInRefusal_isRespected)
{
    startWithBoth();
    leave(first);
    onTestServers([this] {
        first.turnAway("");
    });
    EXPECT_EQ(arrivalsAfterNotice(first, request("/order/1", "")), 0U);
}

// Guards against a gateway that forgets the announcement when the list states again that the endpoint is ready.
TEST_F(LeavingEndpointsTest, listingStillReady_endpointStaysLeaving)
{
    startWithBoth();
    leave(first);
    (void)arrivalsAfterNotice(first, request("/safe/1", ""));
    onTestServers([this] {
        Json entry = endpointEntry(first.port(), "ready");
        entry["sequence"] = 7;
        putObject("servers", "replica-1", entry);
    });
    const std::size_t before = arrivalsAt(first);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    while (std::chrono::steady_clock::now() < end) {
        send(request("/safe/1", ""));
        std::this_thread::sleep_for(kPause);
    }
    EXPECT_EQ(arrivalsAt(first), before);
}

// Guards against a restarted endpoint with the same id and address that receives no calls.
TEST_F(LeavingEndpointsTest, restartedEndpoint_receivesCalls)
{
    startWithBoth();
    leave(first);
    (void)arrivalsAfterNotice(first, request("/safe/1", ""));
    onTestServers([this] {
        putObject("servers", "replica-1", endpointEntry(first.port(), "ready", 2'000));
    });
    const std::size_t before = arrivalsAt(first);
    waitUntil([this, before] {
        send(request("/safe/1", ""));
        return arrivalsAt(first) > before;
    });
}
