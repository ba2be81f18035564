#include "fleetsettings.h"

namespace RadishSwitch
{

namespace
{

constexpr int kMostLedgerShards = 4096;
constexpr double kMostWeight = 1000;
constexpr int kMostRequestsAhead = 1000;
constexpr double kMostDeviations = 10;
constexpr double kLeastLowWater = 0.05;
constexpr double kMostHeldPerLeft = 100;

}

void addFleetSettings(SettingsParser &parser, FleetSettings &settings)
{
    parser.addChoice(
        "log-level", {"debug", "info", "warning", "error", "off"},
        [&settings](std::size_t n) {
            settings.log.level = static_cast<LogLevel>(n);
        },
        "info", "the least severe log line that is written");
    parser.add("peer-listen", settings.peerListen, "where other processes of the fleet come in");
    parser.add("fleet-key", settings.fleetKey, "the secret that the fleet shares");
    parser.add("admin-listen", settings.adminListen, "where /metrics, /livez and /readyz are served");
    parser.add("metrics-listen", settings.metricsListen, "where /metrics is served besides; port 0 for nowhere");
    parser.add("platform", settings.platform, "the platform's store");
    parser.add("instance", settings.instance, "the name of this process in logs");
    parser.addNumber("weight", settings.weight, 0, kMostWeight, "share of the work that one process does for all");
    parser.add("region", settings.region, "the region in which the process runs");
    parser.add("zone", settings.zone, "the availability zone in which the process runs");
    parser.addFlag("first-start", settings.isFirstStart, "the whole fleet starts for the first time");
    parser.add("drain-timeout", settings.drainTimeout, "how long a planned stop waits for what is in progress");
    parser.addNumber("ledger-shards", settings.ledgerShards, 1, kMostLedgerShards,
                     "objects over which budgets are spread; fixed for the life of a ledger");
    parser.add("survival-time", settings.survivalTime, "how long a portion of a budget should last without the store");
    parser.addNumber("requests-ahead", settings.requestsAhead, 0, kMostRequestsAhead,
                     "requests of typical size for which a portion has room at least");
    parser.addNumber("use-deviations", settings.useDeviations, 0, kMostDeviations,
                     "standard deviations of the use to come that a portion allows for");
    parser.addNumber("low-water-share", settings.lowWaterShare, kLeastLowWater, 1,
                     "more is asked for when less than this share of a portion is left");
    parser.addNumber("ride-along-share", settings.rideAlongShare, 0, 1,
                     "the same with a write that another budget has caused; 0 to let each budget ask for itself");
    parser.addNumber("share-of-free", settings.shareOfFree, 0, 1,
                     "share of what is free of a budget that a portion takes beyond what calls wait for");
    parser.addNumber("held-per-left", settings.heldPerLeft, 0, kMostHeldPerLeft,
                     "bound of a portion, relative to the share of the budget that is left; 0 for none");
    parser.addNumber("least-held-share", settings.leastHeldShare, 0, 1,
                     "least share of what is left of a budget that this bound comes to");
    parser.addNumber("headroom-share", settings.headroomShare, 0, 1,
                     "share of each prepaid budget that is left to the most urgent routes");
    parser.addNumber("away-headroom-share", settings.awayHeadroomShare, 0, 1,
                     "the same share of a portion while the store is away");
    parser.require("platform");
    parser.require("region");
    parser.require("zone");
}

}
