#include "fleetparts.h"

namespace RadishSwitch
{

LedgerSettings ledgerSettings(const FleetSettings &settings)
{
    LedgerSettings ledger;
    ledger.shardCount = static_cast<std::uint32_t>(settings.ledgerShards);
    // One sixth of the call rate that the smallest store accepts. The instance with the largest weight is the home of
    // most budgets of a fleet, and asks the ledger once a second for each exhausted budget. With a rate of 20 it
    // answered every call too late after a power failure.
    ledger.storeCallsPerSecond = 60;
    ledger.storeCallBurst = 60;
    // A portion lasts for seconds, so a delay of 200 ms is short enough for a portion that runs low. In this time
    // several budgets can share one write.
    ledger.soonDelay = std::chrono::milliseconds(200);
    ledger.relaxedDelay = std::chrono::milliseconds(800);
    // Bounds how long the first callers after an outage of the store wait until the ledger calls the store again.
    ledger.longestBackoff = std::chrono::milliseconds(800);
    // Callers wait for the ledger, so they are told after a single failed call that the store is unavailable.
    ledger.failuresUntilUnavailable = 1;
    ledger.cachesShards = true;
    return ledger;
}

BudgetHolderSettings holderSettings(const FleetSettings &settings, RandomSource &random)
{
    BudgetHolderSettings holder;
    holder.incarnation = IncarnationId(settings.instance + "-" + random.freshName());
    holder.region = settings.region;
    holder.survivalTime = settings.survivalTime;
    // Long enough to cover the restart of a home.
    holder.standInSurvivalTime = std::chrono::seconds(2);
    // Calls come in bursts of a second and in sessions of a few seconds. With a longer averaging time, a burst would
    // use up its portion before the average has risen.
    holder.use.averagingTime = std::chrono::seconds(4);
    holder.use.shortestAverage = std::chrono::milliseconds(1500);
    // For a budget with one call a second, the short average covers only a handful of calls, whose sizes differ by a
    // factor of a hundred. The long average and the deviations keep a few small calls from making the portion too
    // small.
    holder.use.longAveragingTime = std::chrono::seconds(12);
    holder.use.deviations = settings.useDeviations;
    // The tokens above the low-water mark are stranded with the rest of the portion when the home is killed. A mark
    // close to the target size keeps them few. It costs additional writes, but one more write costs less.
    holder.lowWaterShare = settings.lowWaterShare;
    holder.rideAlongShare = settings.rideAlongShare;
    // The average use varies by a fifth within a second, and the target size of a portion varies with it. Without this
    // interval and a larger distance to the low-water mark, ten budgets in two shards cause 169 writes in 30 seconds.
    holder.relaxedTakeInterval = std::chrono::seconds(2);
    holder.surplusFactor = 1.5;
    // When a home is killed, the tokens in its portion are lost to the budget, and nine seconds of use are most of what
    // is left near the end of a budget. With a smaller share, a portion runs out sooner while the store is unavailable.
    holder.shareOfFree = settings.shareOfFree;
    holder.standInShareOfFree = 0.1;
    // Tokens in the portion of a killed home are missing until the end of the budget, so that later calls are refused.
    // With a `heldPerLeft` of 2 and a `leastHeldShare` of 0.15, a home killed with a quarter of a budget left costs an
    // eighth of the budget.
    if (settings.heldPerLeft > 0) {
        holder.heldPerLeft = settings.heldPerLeft;
        holder.leastHeldShare = settings.leastHeldShare;
        holder.mostHeldShare = 0.6;
    }
    holder.requestsAhead = settings.requestsAhead;
    holder.headroomShare = settings.headroomShare;
    holder.awayHeadroomShare = settings.awayHeadroomShare;
    // A home that stood in for another home returns its portion soon after the other home is back.
    holder.idleTime = std::chrono::seconds(4);
    // In this fleet no process closes the portions of dead holders by their spending reports. The reports only serve to
    // find idle portions, so they can be rare.
    holder.checkpointInterval = std::chrono::seconds(8);
    holder.relaxedCheckpointInterval = std::chrono::seconds(16);
    holder.exhaustedRecheckInterval = std::chrono::seconds(1);
    holder.exhaustedRetryAfter = std::chrono::seconds(2);
    // A short time, since a caller's retry goes to another gateway, which may still hold a portion.
    holder.unavailableRetryAfter = std::chrono::milliseconds(200);
    return holder;
}

SharedBudgetsSettings sharedBudgetsSettings(const FleetSettings &settings)
{
    SharedBudgetsSettings shared;
    shared.ledgerShards = static_cast<std::uint32_t>(settings.ledgerShards);
    return shared;
}

TransportSettings transportSettings(const FleetSettings &settings)
{
    TransportSettings transport;
    transport.fleetKey = settings.fleetKey;
    // Bounds the delay of a call by a gateway that is gone. It must be shorter than the target latency of the call.
    transport.connectTimeout = std::chrono::milliseconds(200);
    transport.pingInterval = std::chrono::seconds(1);
    return transport;
}

HomeDirectorySettings collectorDirectorySettings()
{
    HomeDirectorySettings directory;
    // A frozen collector still accepts connections, so that with a short pause it would be chosen again at once.
    directory.firstPause = std::chrono::seconds(1);
    return directory;
}

FleetPeer peerOf(const FleetSettings &settings, PeerKind kind)
{
    return FleetPeer{settings.peerListen.toString(), settings.weight, settings.zone, kind};
}

}
