#pragma once

#include "base/timerservice.h"

#include <absl/status/status.h>

#include <string>

namespace RadishSwitch
{

/// The faults that are switched on, and the limits of the service. Set one by one in JSON; see `merge`.
struct FaultPlan {
    enum class Away {
        No,
        /// Each call is answered 503 before any effect.
        Unavailable,
        /// Connections are refused, and open ones are cut.
        Refused,
    };

    Away away = Away::No;
    /// How long a call waits before its effect, and how long its answer waits after it.
    Duration latency = Duration::zero();
    Duration answerLatency = Duration::zero();
    /// So many of the next writes take effect without an answer: the connection is cut.
    int loseAnswers = 0;
    /// The same for a share of all writes, drawn at random.
    double loseAnswerShare = 0;
    /// Reads and lists answer as of so long ago.
    Duration staleReads = Duration::zero();
    /// Watches that come now are never answered, also after this is switched off again.
    bool silentWatches = false;
    /// Calls above these rates are answered 429. Zero sets no limit.
    int readsPerSecond = 2000;
    int writesPerSecond = 500;
    /// How long after it was fed a change shows in the list of instances.
    Duration listLag = Duration::zero();

    bool operator==(const FaultPlan &) const = default;

    /// Sets the members that the JSON object `text` names, and leaves the others: `away` ("no", "unavailable",
    /// "refused", or true and false for the first two), `latency_ms`, `answer_latency_ms`, `lose_answers`,
    /// `lose_answer_share`, `stale_reads_ms`, `silent_watches`, `reads_per_second`, `writes_per_second`,
    /// `list_lag_ms`. On InvalidRequest nothing is set.
    absl::Status merge(const std::string &text);

    /// All members in the form that `merge` reads.
    std::string toJson() const;
};

}
