#include "gatewayfixture.h"

using namespace RadishSwitch;

/// A gateway on a platform where operators can close zones. Both endpoints are in zone "a".
class ClosedZonesTest : public GatewayFixture
{
protected:
    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        settings.cordonBound = std::chrono::seconds(5);
        return settings;
    }

    int statusOf(HttpRequest request)
    {
        const auto response = call(std::move(request));
        return response.ok() ? response->status : 0;
    }

    void close(const std::string &zone)
    {
        onTestServers([&] {
            putObject("evacuations", zone, Json::object());
        });
    }

    void open(const std::string &zone)
    {
        onTestServers([&] {
            store.table().remove("evacuations", zone, std::nullopt);
        });
    }

    void waitForStatus(int status)
    {
        waitUntil([this, status] {
            return statusOf(request("/safe/1", "asked-" + std::to_string(++m_asked))) == status;
        });
    }

private:
    int m_asked = 0;
};

// Guards against calls into a closed zone, and against a zone that stays closed after it was reopened.
TEST_F(ClosedZonesTest, closedZone_callsAreRefusedUntilItIsOpen)
{
    start();
    EXPECT_EQ(statusOf(request("/safe/1", "before")), 200);
    close("a");
    waitForStatus(503);
    EXPECT_EQ(statusOf(request("/order/1", "meanwhile")), 503);
    EXPECT_EQ(runs("meanwhile"), 0);
    open("a");
    waitForStatus(200);
}

// Guards against a gateway that starts while a zone is closed, and sends calls there before it has read the cordon.
TEST_F(ClosedZonesTest, gatewayStartedAfterZoneWasClosed_refusesCalls)
{
    close("a");
    start();
    EXPECT_EQ(statusOf(request("/safe/1", "first")), 503);
    EXPECT_EQ(runs("first"), 0);
}

// Guards against an outage caused by a cordon for an unknown zone.
TEST_F(ClosedZonesTest, unknownZone_changesNothing)
{
    close("nowhere");
    start();
    EXPECT_EQ(statusOf(request("/safe/1", "first")), 200);
}

// Guards against a zone that stays closed because the store compacted the change that reopened it. The gateway has to
// read the change from a listing.
TEST_F(ClosedZonesTest, reopeningLostToCompaction_isReadFromListing)
{
    close("a");
    start();
    onTestServers([this] {
        store.table().remove("evacuations", "a", std::nullopt);
        store.table().compact();
    });
    waitForStatus(200);
}
