#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// When an endpoint that fails gets no more runs (is ejected), and for how long.
struct EjectionSettings {
    /// An endpoint is ejected after this many failed runs in a row.
    int consecutiveFailures = 5;
    /// An endpoint is also ejected when at least this share of the runs within one `window` failed, once the window has
    /// counted `minimumWindowRuns` runs.
    double failureShare = 0.5;
    int minimumWindowRuns = 10;
    Duration window = std::chrono::seconds(10);
    /// Duration of an endpoint's first ejection. Each further ejection lasts twice as long as the one before, up to
    /// `longestEjection`.
    Duration firstEjection = std::chrono::seconds(3);
    Duration longestEjection = std::chrono::seconds(60);
    /// At most this share of a pool's eligible endpoints is ejected at the same time.
    double maximumEjectedShare = 0.5;
};

}
