#pragma once

#include "gatewayfixture.h"

/// A gateway whose calls go to the first endpoint whenever possible, since the second endpoint is in a very distant
/// availability zone.
///
/// Without the distance, one answer that the test machine delays by 40 ms keeps an idle endpoint without calls for more
/// than a second, because placement prefers the endpoint whose answers came sooner.
class PreferredEndpointFixture : public GatewayFixture
{
protected:
    RadishSwitch::GatewaySettings gatewaySettings() override
    {
        RadishSwitch::GatewaySettings settings = GatewayFixture::gatewaySettings();
        settings.placement.zoneDistance = std::chrono::seconds(100);
        return settings;
    }

    /// Lists a second endpoint on a port. To be called before the gateway starts, so that a ready gateway knows it.
    void listSecond(std::uint16_t port)
    {
        onTestServers([this, port] {
            Json entry = endpointEntry(port, "ready");
            entry["zone"] = "far-away";
            putObject("servers", "replica-2", entry);
        });
    }
};
