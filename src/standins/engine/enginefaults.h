#pragma once

#include "base/timerservice.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

namespace RadishSwitch
{

/// What is wrong with a stand-in engine at present.
struct EngineFaults {
    /// Runs are taken in and never answered.
    bool isNeverAnswering = false;
    /// New runs are refused with 503.
    bool isRefusing = false;
    /// Every interval takes this many times as long.
    double slowness = 1;
    /// The connection of a run is broken after so many tokens.
    std::optional<std::int64_t> resetAfterTokens;
    std::optional<Duration> loadLag;
    std::optional<Duration> cacheEventDelay;
    /// Every n-th cache event is lost; zero for none.
    std::int64_t lostEventInterval = 0;
    /// The process ends at once.
    bool isDying = false;

    bool operator==(const EngineFaults &) const = default;
};

/// Changes the faults that a JSON document names: "never_answer", "refuse" (booleans), "slow" (factor),
/// "reset_after_tokens", "load_lag_ms", "cache_event_delay_ms" (negative takes them away), "cache_event_gap" (n),
/// "die", and "clear", which takes all others away first. InvalidRequest for anything else.
absl::StatusOr<EngineFaults> changedFaults(const EngineFaults &faults, const std::string &document);

}
