#pragma once

#include "base/timerservice.h"
#include "limits/endpointbackoff.h"
#include "limits/refusalpause.h"
#include "routing/ejectionsettings.h"

namespace RadishSwitch
{

/// Settings of the choice of endpoints. All costs are latencies as a caller experiences them.
struct PlacementSettings {
    /// Prefill speed that is assumed until answers show another one, in tokens per second. The engines' published speed
    /// is 101 tokens per millisecond.
    double prefillTokensPerSecond = 101'000;
    /// Latency added for an endpoint at its in-flight limit, in proportion to its calls in flight. A decoding step
    /// takes 3.0 ms, and 4.4 ms in a full batch; a short answer waits for about fifteen steps.
    Duration fullBatch = std::chrono::milliseconds(20);
    /// Latency added for an endpoint in another availability zone: the network both ways, and a penalty for traffic
    /// between zones.
    Duration zoneDistance = std::chrono::milliseconds(4);
    /// Weight of a token of a shared prefix that is not in the endpoint's cache, on top of the time to prefill it. It
    /// keeps endpoints from recomputing prefixes that another endpoint holds.
    double rereadFactor = 4;
    /// Half-life of the measured delay of first answers.
    Duration delayHalfLife = std::chrono::milliseconds(1500);
    /// Weight of a new delay in the moving average.
    double delayStep = 0.3;
    /// Disables prefix affinity: calls with a shared prefix go to the endpoint with the lowest cost, not to the one
    /// that rendezvous hashing selects.
    bool hasNoAffinity = false;
    /// The prefill speed stays as set and is not learnt from answers.
    bool hasFixedSpeed = false;
    /// Endpoints are never chosen by the needs of callers, not even in pools whose endpoints differ in speed.
    bool hasNoNeedPlacement = false;
    /// Cost of a call that is late, in seconds of waiting.
    double lateCallSeconds = 0.3;
    /// Cost of sending a short prompt to an endpoint that is meant for long ones, or the other way round, in seconds of
    /// waiting: that of one late call. Zero puts all prompts on all endpoints.
    double misplacedPromptSeconds = 0.3;
    /// Lower bound of the in-flight limit that this process sets itself for an endpoint that refuses calls.
    double minimumLimit = 1;
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
