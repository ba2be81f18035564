#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Whether a call may be sent to an endpoint again after it may have run.
enum class Repetition {
    /// Non-idempotent: at most one run.
    Never,
    /// Idempotent: any number of runs.
    Always,
    /// A stream that another run can continue behind the last event that the caller has.
    ByResuming,
};

/// A pool among those over which a route spreads its calls.
struct WeightedPool {
    PoolId pool;
    /// Relative to the other pools of the route; zero takes none.
    std::int64_t weight = 1;

    bool operator==(const WeightedPool &) const = default;
};

/// One rule that leads calls of a host and a path to pools, with what they may cost in time and tries.
struct ServingRoute {
    std::string name;
    /// In lower case, without a port.
    std::string host;
    std::string pathPrefix;
    std::vector<WeightedPool> pools;
    Repetition repetition = Repetition::Never;
    bool isStreamed = false;
    /// Open to callers without an API key.
    bool isPublic = false;
    /// The longest time that a caller is kept waiting.
    Duration timeout{};
    /// Within this the answer, or the first event of a stream, is in time.
    Duration targetLatency{};
    /// The longest pause between events with which a stream is in time; zero where the route tells none.
    Duration targetGap{};
    /// Endpoints to which one call may be sent.
    int maximumAttempts = 1;
    /// 0 is the most urgent.
    int priority = 0;
    /// Regions to which its calls are bound; none where they are not bound.
    std::vector<std::string> allowedRegions;

    bool operator==(const ServingRoute &) const = default;
};

}
