#pragma once

#include "base/timerservice.h"

#include <cstddef>
#include <cstdint>

namespace RadishSwitch
{

/// What the routing policies work with. Times are those that a request feels.
struct RoutingSettings {
    /// Endpoints weighed for one decision of the default policy, besides those that hold most of the prompt.
    std::size_t sampleSize = 4;
    /// Looked at to find as many that are usable.
    std::size_t maximumScanned = 12;
    /// Endpoints that hold most of the prompt and are weighed besides those drawn.
    std::size_t maximumCacheHolders = 2;
    /// An endpoint is not weighed for its cache alone when it is busier than this times the endpoints drawn.
    double cacheHolderUtilisationFactor = 1.25;
    /// Added for an endpoint of another availability zone, and of another region.
    Duration zoneDistance = std::chrono::milliseconds(2);
    Duration regionDistance = std::chrono::milliseconds(80);
    /// Added when the adapter has to be loaded first.
    Duration adapterLoadTime = std::chrono::seconds(2);
    /// Added, in proportion, for a full batch, which slows every step.
    Duration fullBatchDelay = std::chrono::milliseconds(100);
    double prefillTokensPerSecond = 8000;
    /// Assumed of an endpoint that does not state its capacity.
    std::uint32_t capacity = 16;
    /// A load of this age counts half; the rest of the estimate is the pool's mean.
    Duration loadHalfLife = std::chrono::seconds(1);
    /// Loads count as equal within this times what others may have sent since the report.
    double uncertaintyFactor = 2;
    /// From this mean utilisation of the pool on, each process keeps to its own slots while it has any.
    double saturationUtilisation = 0.85;
    /// A new endpoint is weighed with growing probability over this span.
    Duration slowStart = std::chrono::seconds(10);
    double slowStartFloor = 0.1;
    /// A caller with no endpoint is told to come back after this.
    Duration noEndpointRetryAfter = std::chrono::seconds(1);
};

}
