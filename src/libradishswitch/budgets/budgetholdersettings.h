#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"
#include "budgets/tokenuse.h"

#include <cstddef>
#include <string>

namespace RadishSwitch
{

/// How a process holds portions of budgets.
struct BudgetHolderSettings {
    /// This life of this process; names its portions.
    IncarnationId incarnation;
    std::string region;
    /// How long a portion should last at the present use when the store goes away at the worst moment, just before more
    /// is asked for.
    Duration survivalTime = std::chrono::seconds(120);
    /// The same for a budget of which another process usually holds the portion. What a stand-in holds besides is left
    /// lying there when the other is back, and is stranded if either of them dies.
    Duration standInSurvivalTime = std::chrono::seconds(5);
    TokenUseSettings use;
    /// More is asked for when less than this share of the wished size is left.
    double lowWaterShare = 0.5;
    /// With a write that another budget of the shard has caused, more is asked for when less than this share of the
    /// wished size is left. Zero: each budget asks for itself alone.
    double rideAlongShare = 0;
    /// Share of what is free in the ledger that may be taken beyond what waiting requests need.
    double shareOfFree = 0.25;
    /// Share of what is left of a budget that a portion wishes for, beside what waiting requests need: `heldPerLeft`
    /// times the share of the whole budget that is left, within these bounds. One for no bound.
    double heldPerLeft = 1;
    double leastHeldShare = 1;
    double mostHeldShare = 1;
    /// Share of the whole budget that is left to urgent reservations and to small ones.
    double headroomShare = 0;
    /// Small is what has at most this part of the usual size, and what is urgent and of no more than the usual size.
    double headroomSmallShare = 0.5;
    /// Part of the headroom that larger urgent reservations leave to small ones.
    double headroomForSmall = 0.5;
    /// The same of what was held when the ledger was lost, while it is.
    double awayHeadroomShare = 0;
    /// In place of `shareOfFree` for a budget of which another process usually holds the portion.
    double standInShareOfFree = 0.25;
    /// Requests of typical size for which a portion has room at least, whatever the averaged use is; and for one of the
    /// size last seen.
    int requestsAhead = 4;
    /// A portion with more than so many times the wished size gives back the excess.
    double surplusFactor = 4;
    /// Use of so long is kept when another holder found too little.
    Duration shortageSurvivalTime = std::chrono::seconds(5);
    /// How often the spending of a budget that runs low is written to the ledger, and the ledger looked at.
    Duration checkpointInterval = std::chrono::seconds(5);
    /// The same for all others.
    Duration relaxedCheckpointInterval = std::chrono::seconds(120);
    /// A budget runs low when less than so many times the wished size of the portion here is free in the ledger.
    std::int64_t lowBudgetFactor = 4;
    /// A portion that nobody used for so long is returned.
    Duration idleTime = std::chrono::seconds(60);
    /// An older portion is replaced by a fresh one at the next occasion, so that few agents come and go during the
    /// life of a portion.
    Duration portionLifetime = std::chrono::minutes(10);
    /// For so long after the ledger had too little, it is not asked again.
    Duration exhaustedRecheckInterval = std::chrono::milliseconds(500);
    /// At least so long between two requests to the ledger that no request waits for.
    Duration relaxedTakeInterval = std::chrono::seconds(1);
    /// What callers are told with BudgetExhausted and with BudgetUnavailable.
    std::chrono::milliseconds exhaustedRetryAfter = std::chrono::seconds(5);
    std::chrono::milliseconds unavailableRetryAfter = std::chrono::seconds(2);
    /// What callers are told with BudgetLow. Only a payment helps.
    std::chrono::milliseconds lowRetryAfter = std::chrono::seconds(30);
    /// Requests of one budget that may wait at once.
    std::size_t maximumWaiting = 1000;
};

}
