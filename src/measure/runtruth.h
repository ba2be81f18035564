#pragma once

#include "requesthistory.h"
#include "truthrecords.h"

#include <cstdint>

namespace RadishSwitch
{

/// Whether what callers were told of their requests is what happened to them.
struct RunTruth {
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    /// Requests with an answer that was another's or out of order, or whose callers gave up without an answer or an
    /// honest refusal. "Unknown" as the last word on a keyed request that could be asked for again is a lost answer.
    std::int64_t lostOrMixedAnswers = 0;
    /// Executions of orders beyond the first.
    std::int64_t doubleRuns = 0;
    /// Chats whose whole answer was made more than once.
    std::int64_t repeatedChats = 0;
    /// Requests that were refused as not run, and ran.
    std::int64_t falseNotRun = 0;
    /// Requests whose last word was that the outcome is unknown.
    std::int64_t unknownOutcomes = 0;
    /// Refusals that don't tell the outcome.
    std::int64_t silentRefusals = 0;
    /// Runs that began more than three seconds after their endpoint had begun to leave.
    std::int64_t lateWork = 0;
    /// Tries in progress during a planned stop that were broken off.
    std::int64_t cutOffByStop = 0;
    /// Runs that were asked to go on with a text that isn't the answer's beginning.
    std::int64_t wrongContinuations = 0;
    std::int64_t strayRuns = 0;
    std::int64_t wrongUsage = 0;
    /// Prompt tokens of the load's runs, and those of them that the engines' prefix caches had.
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;

    bool operator==(const RunTruth &) const = default;
};

RunTruth computeRunTruth(const TruthRecords &records, const RequestHistories &histories);

/// The longest waits for a byte of those answers that were under way when a fault struck, 95 in 100 of them no longer
/// than this, in milliseconds. Zero when there were none.
double stallAtFaults(const TruthRecords &records);

}
