#include "fleetparts.h"

namespace RadishSwitch
{

LedgerSettings ledgerSettings(const FleetSettings &settings)
{
    LedgerSettings ledger;
    ledger.shardCount = static_cast<std::uint32_t>(settings.ledgerShards);
    // A sixth of what the smallest store takes. The heaviest instance is the home of most budgets of a fleet, and asks
    // once a second for each that has run dry: with 20 it was late for every call after a loss of power.
    ledger.storeCallsPerSecond = 60;
    ledger.storeCallBurst = 60;
    // A portion lasts seconds: a fifth of one is soon enough for what runs low, and lets several budgets share a write.
    ledger.soonDelay = std::chrono::milliseconds(200);
    ledger.relaxedDelay = std::chrono::milliseconds(800);
    // After an outage the first callers wait no longer than this for the ledger to be asked.
    ledger.longestBackoff = std::chrono::milliseconds(800);
    // Callers wait for the ledger; one call without an answer is reason enough to tell them.
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
    // Bridges the restart of a home.
    holder.standInSurvivalTime = std::chrono::seconds(2);
    // Calls come in clumps of a second and sessions of a few; averaged for longer, a burst would outrun its portion.
    holder.use.averagingTime = std::chrono::seconds(4);
    holder.use.shortestAverage = std::chrono::milliseconds(1500);
    // Of a budget with a call a second, four seconds are a handful of calls of sizes that differ a hundredfold. Quiet
    // days with two outages of two sites, two plays each, mean worth: 0.607 with the short average alone, 0.617 with
    // the long one too, 0.642 with one deviation, 0.649 with both; days with trouble or load lose nothing that plays
    // would show (0.457 of 0.460).
    holder.use.longAveragingTime = std::chrono::seconds(12);
    holder.use.deviations = settings.useDeviations;
    // What lies above the low water is stranded with the rest when the home is killed; one more write costs less.
    holder.lowWaterShare = settings.lowWaterShare;
    holder.rideAlongShare = settings.rideAlongShare;
    // The averaged use goes up and down by a fifth within a second, and the size wished for with it. Asked each time,
    // ten budgets of two shards have these written 169 times in half a minute; with this and a wider low water 23
    // times.
    holder.relaxedTakeInterval = std::chrono::seconds(2);
    holder.surplusFactor = 1.5;
    // A home that is killed takes its portion with it. Near the end of a budget nine seconds of use are most of what
    // is left, and every later call is refused for it; a smaller share ends sooner while the store is away. Standard
    // days of two sites, one play each, which vary by 0.02: 0.98 and 1.00 with a half, 1.00 and 1.00 with this, 0.95
    // and 0.99 with 0.12.
    holder.shareOfFree = settings.shareOfFree;
    holder.standInShareOfFree = 0.1;
    // What lies with the dead has every later call of a budget refused, also long after. Served in all of a budget
    // whose home is killed with a quarter left: 0.995 with this bound, 0.873 with 2 and 0.15. Days with trouble of two
    // sites, three plays each, mean worth: 0.678 and 0.475 with these and portions of 3 s, 0.720 and 0.517 with the
    // bound and 9 s.
    if (settings.heldPerLeft > 0) {
        holder.heldPerLeft = settings.heldPerLeft;
        holder.leastHeldShare = settings.leastHeldShare;
        holder.mostHeldShare = 0.6;
    }
    holder.requestsAhead = settings.requestsAhead;
    holder.headroomShare = settings.headroomShare;
    holder.awayHeadroomShare = settings.awayHeadroomShare;
    // A home that stands in for another gives its portion back soon after.
    holder.idleTime = std::chrono::seconds(4);
    // Reports of spending prove nothing here, where no closer reads them; they only find idle portions.
    holder.checkpointInterval = std::chrono::seconds(8);
    holder.relaxedCheckpointInterval = std::chrono::seconds(16);
    holder.exhaustedRecheckInterval = std::chrono::seconds(1);
    holder.exhaustedRetryAfter = std::chrono::seconds(2);
    // Another gateway may still hold a portion, and a caller's next try goes to another.
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
    // A gateway that is gone must not hold up a call for its whole target latency.
    transport.connectTimeout = std::chrono::milliseconds(200);
    transport.pingInterval = std::chrono::seconds(1);
    return transport;
}

FleetPeer peerOf(const FleetSettings &settings, PeerKind kind)
{
    return FleetPeer{settings.peerListen.toString(), settings.weight, settings.zone, kind};
}

}
