#pragma once

#include "base/timerservice.h"
#include "limits/endpointbackoff.h"
#include "limits/refusalpause.h"
#include "routing/ejectionsettings.h"

namespace RadishSwitch
{

/// What placement works with. Times are those that a caller feels.
struct PlacementSettings {
    /// Speed at which an engine reads a prompt, in tokens a second: the engines' published 101 a millisecond.
    double readTokensPerSecond = 101'000;
    /// Added for a full batch, in proportion: from 3.0 to 4.4 ms a step, over the some fifteen steps that a short
    /// answer's pauses bear.
    Duration fullBatch = std::chrono::milliseconds(20);
    /// Added for an endpoint of another availability zone: both ways of the network, and the bytes that cross zones.
    Duration zoneDistance = std::chrono::milliseconds(4);
    /// What a token that some endpoint has read already costs beyond its time when it is read again elsewhere.
    double rereadFactor = 4;
    /// Delays of first answers are forgotten by half in this time.
    Duration delayHalfLife = std::chrono::milliseconds(1500);
    /// Weight of a new delay in the average.
    double delayStep = 0.3;
    /// Calls with a shared part go wherever it is cheapest, and not to the endpoint that all processes name for it.
    bool hasNoAffinity = false;
    /// The reading speed stays as set, and is not learnt from answers.
    bool hasFixedSpeed = false;
    /// Least number of calls that a process may have under way at an endpoint, however often that refuses.
    double leastLimit = 1;
    EndpointBackoffSettings backoff;
    RefusalPauseSettings pause;
    EjectionSettings ejection{.consecutiveFailures = 3,
                              .failureShare = 0.3,
                              .minimumWindowRuns = 8,
                              .window = std::chrono::seconds(5),
                              .firstEjection = std::chrono::seconds(2),
                              .longestEjection = std::chrono::seconds(8),
                              .maximumEjectedShare = 0.5};
};

}
