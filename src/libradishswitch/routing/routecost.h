#pragma once

#include "routing/endpointactivity.h"
#include "routing/poolload.h"
#include "routing/routequery.h"
#include "routing/routingsettings.h"

namespace RadishSwitch
{

/// What an endpoint is thought to be doing now: this process's own runs, which it knows, and those of others, from the
/// last report and the pool's mean.
struct LoadEstimate {
    double runs = 0;
    /// Runs over capacity; above one when there is a queue.
    double utilisation = 0;
    /// Expected seconds in the endpoint's queue and by the slowness of a full batch.
    double seconds = 0;
    /// Differences below this many seconds mean nothing: others may have sent as much there since the report.
    double uncertaintySeconds = 0;
};

LoadEstimate estimateLoad(const EndpointState &state, const EndpointActivity &activity, const PoolLoad &pool,
                          const RoutingSettings &settings, Instant now);

/// Expected seconds from dispatch to the first token, in two parts: by load, which is estimated, and by what is known.
struct RouteCost {
    double loadSeconds = 0;
    double knownSeconds = 0;
    double uncertaintySeconds = 0;

    double seconds() const
    {
        return loadSeconds + knownSeconds;
    }
};

/// `cachedBlocks` of the query's prefix hashes are thought to be in the endpoint's cache.
RouteCost expectedFirstToken(const EndpointState &state, const EndpointActivity &activity, const LoadEstimate &load,
                             std::size_t cachedBlocks, const RouteQuery &query, const RoutingSettings &settings,
                             Instant now);

/// The capacity that the endpoint states, or else the settings' one.
std::uint32_t capacityOf(const EndpointLoad &load, const RoutingSettings &settings);

/// "model" of "model:adapter".
std::string baseModelOf(const std::string &model);

}
