#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// When an endpoint that fails is left out, and for how long.
struct EjectionSettings {
    int consecutiveFailures = 5;
    /// Share of failures in a window of `window`, with at least `minimumWindowRuns` runs.
    double failureShare = 0.5;
    int minimumWindowRuns = 10;
    Duration window = std::chrono::seconds(10);
    /// The first ejection; each further one lasts twice as long, up to the longest.
    Duration firstEjection = std::chrono::seconds(3);
    Duration longestEjection = std::chrono::seconds(60);
    /// At most this share of a pool's endpoints is ejected at a time.
    double maximumEjectedShare = 0.5;
};

}
