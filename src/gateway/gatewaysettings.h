#pragma once

#include "logsettings.h"
#include "settingsparser.h"
#include "socketaddress.h"

namespace RadishSwitch
{

/// What a gateway is told at its start.
struct GatewaySettings {
    LogSettings log;
    /// Where callers come in.
    SocketAddress listen{"127.0.0.1", 8080};
    /// Where /metrics, /livez and /readyz are served.
    SocketAddress adminListen{"127.0.0.1", 8082};
    /// Where /metrics is served besides; port 0 for nowhere.
    SocketAddress metricsListen{"127.0.0.1", 0};
    /// Where other gateways come in.
    SocketAddress peerListen{"127.0.0.1", 8081};
    /// The secret that all gateways share.
    std::string fleetKey = "radishswitch gateways on one private network";
    /// The platform's store.
    SocketAddress platform;
    std::string instance = "gateway";
    /// How much of what one gateway does for all it takes on, relative to the others; its share of a core.
    double weight = 1;
    std::string region;
    std::string zone;
    /// A planned stop waits no longer than this for what is in progress.
    Duration drainTimeout = std::chrono::seconds(8);
    /// How long a stopping gateway goes on taking calls, so that the balancer has time to see that it is not ready: two
    /// questions a second apart, and one more for one that is lost.
    Duration drainNotice = std::chrono::milliseconds(2500);
    /// Within this a change of the configuration has to be in force, and a leaving endpoint without new calls.
    Duration changeBound = std::chrono::seconds(2);
    /// Objects over which budgets are spread; the same in all gateways and for ever.
    int ledgerShards = 8;
    /// How long a portion of a budget should last without the store.
    Duration survivalTime = std::chrono::milliseconds(9000);
    /// Further attempts for each first one, and how many may be saved up, for each pool.
    double retryShare = 0.12;
    double retryBurst = 6;
};

void addGatewaySettings(SettingsParser &parser, GatewaySettings &settings);

}
