#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Whether a call that may have run may be sent to an endpoint again.
enum class Repetition {
    /// Non-idempotent: at most one run.
    Never,
    /// Idempotent: any number of runs.
    Always,
    /// A stream that another run can continue after the last event that the caller received.
    ByResuming,
};

/// A pool to which a route sends part of its calls.
struct WeightedPool {
    PoolId pool;
    /// Relative to the other pools of the route; a pool with weight zero gets no calls.
    std::int64_t weight = 1;

    bool operator==(const WeightedPool &) const = default;
};

/// Routes calls with a given host and path prefix to pools, and limits their time and number of attempts.
struct ServingRoute {
    std::string name;
    /// In lower case, without a port.
    std::string host;
    std::string pathPrefix;
    std::vector<WeightedPool> pools;
    Repetition repetition = Repetition::Never;
    bool isStreamed = false;
    /// Whether callers need no API key.
    bool isPublic = false;
    /// The longest time that a caller waits for the answer.
    Duration timeout{};
    /// The answer, or the first event of a stream, is in time if it arrives within this time.
    Duration targetLatency{};
    /// The longest pause between two events of a stream that is in time; zero if the route sets none.
    Duration targetGap{};
    /// Maximum number of endpoints to which one call is sent.
    int maximumAttempts = 1;
    /// 0 is the most urgent.
    int priority = 0;
    /// Regions to which the route's calls are restricted; empty if they are not restricted.
    std::vector<std::string> allowedRegions;

    bool operator==(const ServingRoute &) const = default;
};

}
