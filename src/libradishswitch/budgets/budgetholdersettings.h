#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"
#include "budgets/tokenuse.h"

#include <cstddef>
#include <string>

namespace RadishSwitch
{

/// Settings of a BudgetHolder. A "target size" below is the number of available tokens that the holder aims for in its
/// portion of a budget.
struct BudgetHolderSettings {
    /// Identifies this run of the process; part of the ids of its portions.
    IncarnationId incarnation;
    std::string region;
    /// How long a portion should last at the current rate of use if the store becomes unavailable at the worst moment,
    /// which is just before the holder asks for more tokens.
    Duration survivalTime = std::chrono::seconds(120);
    /// Replaces `survivalTime` for a budget whose portion is usually held by another process. A portion taken by such a
    /// stand-in stays unused when the usual holder is back, and is stranded if one of the two processes dies.
    Duration standInSurvivalTime = std::chrono::seconds(5);
    TokenUseSettings use;
    /// Low-water mark: the holder asks the ledger for more tokens when its portion has less available than this share
    /// of the target size.
    double lowWaterShare = 0.5;
    /// When the shard is about to be written for another budget, the holder also asks for more tokens of this budget if
    /// its portion has less available than this share of the target size. Zero disables this: each budget then asks
    /// only for itself.
    double rideAlongShare = 0;
    /// Share of the free tokens in the ledger that a portion may take beyond what waiting requests need.
    double shareOfFree = 0.25;
    /// Upper bound of the target size, as a share of the tokens left in the budget: `heldPerLeft` times the share of
    /// the whole budget that is left, clamped to `leastHeldShare` and `mostHeldShare`. Waiting requests may need more.
    /// A `mostHeldShare` of one disables the bound.
    double heldPerLeft = 1;
    double leastHeldShare = 1;
    double mostHeldShare = 1;
    /// Headroom: the share of the whole budget that is reserved for urgent requests and for small ones.
    double headroomShare = 0;
    /// A request that is not urgent counts as small up to this multiple of the average request size. Urgent requests
    /// count as small up to the average size.
    double headroomSmallShare = 0.5;
    /// Share of the headroom that larger urgent requests must leave to small requests.
    double headroomForSmall = 0.5;
    /// Replaces `headroomShare` while the ledger is unavailable: the share of the tokens that were available when the
    /// ledger became unavailable.
    double awayHeadroomShare = 0;
    /// Replaces `shareOfFree` for a budget whose portion is usually held by another process.
    double standInShareOfFree = 0.25;
    /// The target size has room for at least this number of requests of average size, whatever the average rate of use
    /// is, and for one request of the size last seen.
    int requestsAhead = 4;
    /// The holder returns the excess of a portion that has more available than this multiple of the target size.
    double surplusFactor = 4;
    /// When another holder found too few free tokens, this holder keeps only the tokens that it needs for this time.
    Duration shortageSurvivalTime = std::chrono::seconds(5);
    /// How often the holder reports its spending to the ledger, and reads the budget's amounts there, for a budget that
    /// runs low.
    Duration checkpointInterval = std::chrono::seconds(5);
    /// Replaces `checkpointInterval` for budgets that do not run low.
    Duration relaxedCheckpointInterval = std::chrono::seconds(120);
    /// A budget runs low when the ledger has fewer free tokens than this multiple of the target size.
    std::int64_t lowBudgetFactor = 4;
    /// The holder returns a portion that no request has used for this time.
    Duration idleTime = std::chrono::seconds(60);
    /// The holder replaces a portion that is older than this at the next checkpoint, so that few agents start or stop
    /// during the life of a portion.
    Duration portionLifetime = std::chrono::minutes(10);
    /// For this time after the ledger reported too few free tokens, the holder does not ask it again.
    Duration exhaustedRecheckInterval = std::chrono::milliseconds(500);
    /// Minimum time between two requests for more tokens when no reservation waits for them.
    Duration relaxedTakeInterval = std::chrono::seconds(1);
    /// The time after which callers may retry, as sent with BudgetExhausted and with BudgetUnavailable.
    std::chrono::milliseconds exhaustedRetryAfter = std::chrono::seconds(5);
    std::chrono::milliseconds unavailableRetryAfter = std::chrono::seconds(2);
    /// The same, sent with BudgetLow. Longer, since only a payment helps.
    std::chrono::milliseconds lowRetryAfter = std::chrono::seconds(30);
    /// Maximum number of requests of one budget that may wait at once; further ones are refused.
    std::size_t maximumWaiting = 1000;
};

}
