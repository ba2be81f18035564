#pragma once

#include "logsettings.h"
#include "settingsparser.h"
#include "socketaddress.h"

namespace RadishSwitch
{

/// Start-up settings that gateways and homes have in common.
struct FleetSettings {
    LogSettings log;
    /// Address on which other processes of the fleet connect to this one.
    SocketAddress peerListen{"127.0.0.1", 8081};
    /// Address on which /metrics, /livez and /readyz are served.
    SocketAddress adminListen{"127.0.0.1", 8082};
    /// Additional address on which /metrics is served. Port 0 means none.
    SocketAddress metricsListen{"127.0.0.1", 0};
    /// Secret that all processes of the fleet share.
    std::string fleetKey = "radishswitch gateways on one private network";
    /// Address of the platform's store.
    SocketAddress platform;
    std::string instance = "gateway";
    /// Share of the fleet's shared work that this process takes on, relative to other processes of its kind. It is the
    /// share of a CPU core that the process has.
    double weight = 1;
    std::string region;
    std::string zone;
    /// Maximum time that a planned stop waits for the work in progress.
    Duration drainTimeout = std::chrono::seconds(8);
    /// Number of objects in the store over which the ledger distributes the budgets. It must be the same in all
    /// processes and must never change.
    int ledgerShards = 8;
    /// How long a portion of a budget should last while the store is unavailable.
    Duration survivalTime = std::chrono::milliseconds(7500);
    /// A portion has room for at least this number of requests of average size.
    int requestsAhead = 6;
    /// Number of standard deviations of the future use that are added to the expected use in a portion's target size.
    double useDeviations = 1;
    /// The holder of a portion asks the ledger for more tokens when less than this share of the target size is
    /// available.
    double lowWaterShare = 0.7;
    /// The same share, applied when the ledger is about to be written for another budget anyway. Zero disables this.
    double rideAlongShare = 0.97;
    /// Whether the whole fleet starts for the first time, so that the store has none of its objects yet.
    bool isFirstStart = false;
    /// Share of a budget's free tokens that a portion may take beyond the tokens that waiting calls need.
    double shareOfFree = 0.25;
    /// Upper bound of a portion's target size, as a share of the tokens left in the budget: this factor times the share
    /// of the whole budget that is left. Zero disables the bound.
    double heldPerLeft = 0.25;
    /// The bound above is never smaller than this share of the tokens left in the budget.
    double leastHeldShare = 0.1;
    /// Headroom: share of each prepaid budget that is reserved for the calls of the most urgent routes. Where these
    /// calls use an eighth of the tokens, the headroom lasts them for 16 seconds. A larger one withholds more
    /// tokens from the other calls.
    double headroomShare = 0.03;
    /// Headroom of a portion while the store is unavailable, as a share of the portion. Without it, other calls can
    /// use up the portion before the most urgent ones arrive; a larger one makes the others be refused sooner.
    double awayHeadroomShare = 0.15;
};

void addFleetSettings(SettingsParser &parser, FleetSettings &settings);

}
