#pragma once

#include "base/timerservice.h"

#include <cstddef>
#include <cstdint>

namespace RadishSwitch
{

/// Settings of the routing policies. The durations are delays as a request experiences them; the default policy adds
/// them to the expected time to the first token.
struct RoutingSettings {
    /// Number of endpoints that the default policy scores for one decision, besides those that hold most of the prompt.
    std::size_t sampleSize = 4;
    /// How many endpoints the default policy examines at most to find `sampleSize` usable ones.
    std::size_t maximumScanned = 12;
    /// Number of endpoints with most of the prompt in their cache that the default policy scores besides the sampled
    /// ones.
    std::size_t maximumCacheHolders = 2;
    /// An endpoint is not scored for its cache alone when its utilisation exceeds this factor times the mean
    /// utilisation of the sampled endpoints, plus one run.
    double cacheHolderUtilisationFactor = 1.25;
    /// Delay added for an endpoint in another availability zone of the region, and for one in another region.
    Duration zoneDistance = std::chrono::milliseconds(2);
    Duration regionDistance = std::chrono::milliseconds(80);
    /// Delay added when the endpoint has to load the adapter first.
    Duration adapterLoadTime = std::chrono::seconds(2);
    /// Delay added when all slots of an endpoint are in use, because a full batch slows down every step; in proportion
    /// when fewer are.
    Duration fullBatchDelay = std::chrono::milliseconds(100);
    /// Speed at which an endpoint processes the prompt tokens that its cache does not hold.
    double prefillTokensPerSecond = 8000;
    /// Capacity of an endpoint that does not report one.
    std::uint32_t capacity = 16;
    /// A reported load of this age contributes half to the estimate; the pool's mean contributes the other half.
    Duration loadHalfLife = std::chrono::seconds(1);
    /// Endpoints count as equally loaded while they differ by less than this factor times the load that other processes
    /// may have added since the report.
    double uncertaintyFactor = 2;
    /// From this mean utilisation of the pool on, a process uses only its own slots as long as some of them are free.
    double saturationUtilisation = 0.85;
    /// A new endpoint is considered with a probability that grows linearly over this duration, from at least
    /// `slowStartFloor` up to 1.
    Duration slowStart = std::chrono::seconds(10);
    double slowStartFloor = 0.1;
    /// Retry-after time for a caller when no endpoint may get its request.
    Duration noEndpointRetryAfter = std::chrono::seconds(1);
};

}
