#pragma once

#include "logsettings.h"
#include "settingsparser.h"
#include "socketaddress.h"

namespace RadishSwitch
{

/// What gateways and homes are told alike at their start.
struct FleetSettings {
    LogSettings log;
    /// Where other processes of the fleet come in.
    SocketAddress peerListen{"127.0.0.1", 8081};
    /// Where /metrics, /livez and /readyz are served.
    SocketAddress adminListen{"127.0.0.1", 8082};
    /// Where /metrics is served besides; port 0 for nowhere.
    SocketAddress metricsListen{"127.0.0.1", 0};
    /// The secret that the fleet shares.
    std::string fleetKey = "radishswitch gateways on one private network";
    /// The platform's store.
    SocketAddress platform;
    std::string instance = "gateway";
    /// How much of what one process does for all it takes on, relative to others of its kind; its share of a core.
    double weight = 1;
    std::string region;
    std::string zone;
    /// A planned stop waits no longer than this for what is in progress.
    Duration drainTimeout = std::chrono::seconds(8);
    /// Objects over which budgets are spread; the same in all processes and for ever.
    int ledgerShards = 8;
    /// How long a portion of a budget should last without the store.
    Duration survivalTime = std::chrono::milliseconds(7500);
    /// Requests of typical size for which a portion has room at least.
    int requestsAhead = 6;
    /// Standard deviations of the use to come that a portion allows for.
    double useDeviations = 1;
    /// More is asked for when less than this share of a portion is left.
    double lowWaterShare = 0.7;
    /// The same with a write of the ledger that another budget has caused.
    double rideAlongShare = 0.97;
    /// The whole fleet starts for the first time: nothing of it is in the store yet.
    bool isFirstStart = false;
    /// Share of what is free of a budget that a portion may take beyond what calls wait for.
    double shareOfFree = 0.25;
    /// A portion wishes for no more than so many times the share of the budget that is left; zero for no bound.
    double heldPerLeft = 0.25;
    /// Least share of what is left of a budget that this bound comes to.
    double leastHeldShare = 0.1;
    /// Share of each prepaid budget that is left to the calls of the most urgent routes. Where these take an eighth of
    /// the tokens, it lasts them for 16 seconds. Standard days of two sites, two plays each, mean worth of those with
    /// trouble or load: 0.448 without, 0.453 with 0.02, 0.460 with 0.03, 0.449 with 0.04, 0.427 with 0.05.
    double headroomShare = 0.03;
    /// The same of a portion while the store is away. Quiet days with two outages, as above: 0.590 without either,
    /// 0.580 with none here, 0.607 with 0.15, 0.569 with 0.3.
    double awayHeadroomShare = 0.15;
};

void addFleetSettings(SettingsParser &parser, FleetSettings &settings);

}
