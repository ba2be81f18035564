#include "fleetsettings.h"

#include "loglevelsetting.h"

namespace RadishSwitch
{

namespace
{

constexpr int kMaxLedgerShards = 4096;
constexpr double kMaxWeight = 1000;
constexpr int kMaxRequestsAhead = 1000;
constexpr double kMaxDeviations = 10;
constexpr double kMinLowWaterShare = 0.05;
constexpr double kMaxHeldPerLeft = 100;

}

void addFleetSettings(SettingsParser &parser, FleetSettings &settings)
{
    addLogLevel(parser, settings.log, "severity of the least severe log lines that are written");
    parser.add("peer-listen", settings.peerListen, "address on which other processes of the fleet connect");
    parser.add("fleet-key", settings.fleetKey, "secret that all processes of the fleet share");
    parser.add("admin-listen", settings.adminListen, "address on which /metrics, /livez and /readyz are served");
    parser.add("metrics-listen", settings.metricsListen,
               "additional address on which /metrics is served; port 0 for none");
    parser.add("platform", settings.platform, "the platform's store");
    parser.add("instance", settings.instance, "the name of this process in logs");
    parser.addNumber("weight", settings.weight, 0, kMaxWeight,
                     "share of the fleet's shared work that this process takes on, relative to others");
    parser.add("region", settings.region, "the region in which the process runs");
    parser.add("zone", settings.zone, "the availability zone in which the process runs");
    parser.addFlag("first-start", settings.isFirstStart, "the whole fleet starts for the first time");
    parser.add("drain-timeout", settings.drainTimeout,
               "maximum time that a planned stop waits for the work in progress");
    parser.addNumber("ledger-shards", settings.ledgerShards, 1, kMaxLedgerShards,
                     "number of objects over which the ledger distributes budgets; fixed for the life of a ledger");
    parser.add("survival-time", settings.survivalTime,
               "how long a portion of a budget should last while the store is unavailable");
    parser.addNumber("requests-ahead", settings.requestsAhead, 0, kMaxRequestsAhead,
                     "minimum number of requests of average size for which a portion has room");
    parser.addNumber("use-deviations", settings.useDeviations, 0, kMaxDeviations,
                     "number of standard deviations of the future use that are added to the expected use");
    parser.addNumber("low-water-share", settings.lowWaterShare, kMinLowWaterShare, 1,
                     "more tokens are taken when less than this share of a portion's target size is available");
    parser.addNumber("ride-along-share", settings.rideAlongShare, 0, 1,
                     "the same share when the ledger is written for another budget anyway; 0 to disable this");
    parser.addNumber("share-of-free", settings.shareOfFree, 0, 1,
                     "share of a budget's free tokens that a portion takes beyond the tokens that waiting calls need");
    parser.addNumber(
        "held-per-left", settings.heldPerLeft, 0, kMaxHeldPerLeft,
        "upper bound of a portion's size, as a multiple of the share of the budget that is left; 0 for none");
    parser.addNumber("least-held-share", settings.leastHeldShare, 0, 1,
                     "minimum of this bound, as a share of the tokens left in the budget");
    parser.addNumber("headroom-share", settings.headroomShare, 0, 1,
                     "share of each prepaid budget that is reserved for the most urgent routes");
    parser.addNumber("away-headroom-share", settings.awayHeadroomShare, 0, 1,
                     "the same, as a share of a portion, while the store is unavailable");
    parser.require("platform");
    parser.require("region");
    parser.require("zone");
}

}
