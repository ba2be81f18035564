#pragma once

#include "endpointuse.h"
#include "routequery.h"
#include "routingsettings.h"

namespace RadishSwitch
{

/// The mean of a pool's endpoints, for judging one whose own load is old.
struct PoolLoad {
    double queueSeconds = 0;
    double utilisation = 0;
};

/// What an endpoint is thought to be doing now: its reported load, aged, and this process's own runs since.
struct LoadEstimate {
    /// Until a new run would leave the endpoint's queue.
    double queueSeconds = 0;
    /// Runs over capacity; above one when there is a queue.
    double utilisation = 0;
};

LoadEstimate estimateLoad(const EndpointState &state, const EndpointUse &use, const PoolLoad &pool,
                          const RoutingSettings &settings, Instant now);

/// The queue that the report alone shows, in seconds.
double reportedQueueSeconds(const EndpointLoad &load, const RoutingSettings &settings);

/// Expected seconds from dispatch to the first token.
/// `cachedBlocks` of the query's prefix hashes are thought to be in the endpoint's cache.
double expectedFirstToken(const EndpointState &state, const EndpointUse &use, const LoadEstimate &load,
                          std::size_t cachedBlocks, const RouteQuery &query, const RoutingSettings &settings,
                          Instant now);

/// The capacity that the endpoint states, or else the settings' one.
std::uint32_t capacityOf(const EndpointLoad &load, const RoutingSettings &settings);

/// "model" of "model:adapter".
std::string baseModelOf(const std::string &model);

}
