#include "gatewaysettings.h"

namespace RadishSwitch
{

namespace
{

constexpr int kMostLedgerShards = 4096;
constexpr double kMostWeight = 1000;
constexpr double kMostRetries = 10'000;

}

void addGatewaySettings(SettingsParser &parser, GatewaySettings &settings)
{
    parser.addChoice(
        "log-level", {"debug", "info", "warning", "error", "off"},
        [&settings](std::size_t n) {
            settings.log.level = static_cast<LogLevel>(n);
        },
        "info", "the least severe log line that is written");
    parser.add("listen", settings.listen, "where callers come in");
    parser.add("peer-listen", settings.peerListen, "where other gateways come in");
    parser.add("fleet-key", settings.fleetKey, "the secret that all gateways share");
    parser.add("admin-listen", settings.adminListen, "where /metrics, /livez and /readyz are served");
    parser.add("metrics-listen", settings.metricsListen, "where /metrics is served besides; port 0 for nowhere");
    parser.add("platform", settings.platform, "the platform's store");
    parser.add("instance", settings.instance, "the name of this process in logs");
    parser.addNumber("weight", settings.weight, 0, kMostWeight, "share of the work that one gateway does for all");
    parser.add("region", settings.region, "the region in which the process runs");
    parser.add("zone", settings.zone, "the availability zone in which the process runs");
    parser.add("drain-timeout", settings.drainTimeout, "how long a planned stop waits for what is in progress");
    parser.add("drain-notice", settings.drainNotice, "how long it goes on taking calls after it was told to stop");
    parser.add("change-bound", settings.changeBound, "within this a change in the store has to be in force");
    parser.addNumber("ledger-shards", settings.ledgerShards, 1, kMostLedgerShards,
                     "objects over which budgets are spread; fixed for the life of a ledger");
    parser.add("survival-time", settings.survivalTime, "how long a portion of a budget should last without the store");
    parser.addNumber("headroom-share", settings.headroomShare, 0, 1,
                     "share of each prepaid budget that is left to the most urgent routes");
    parser.addNumber("away-headroom-share", settings.awayHeadroomShare, 0, 1,
                     "the same share of a portion while the store is away");
    parser.addNumber("retry-bound", settings.retryBound, 0, 1,
                     "further attempts that all gateways together may make for each first one");
    parser.addNumber("retry-burst", settings.retryBurst, 0, kMostRetries, "further attempts that may be saved up");
    parser.require("platform");
    parser.require("region");
    parser.require("zone");
}

}
