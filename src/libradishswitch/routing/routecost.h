#pragma once

#include "routing/endpointactivity.h"
#include "routing/poolload.h"
#include "routing/routequery.h"
#include "routing/routingsettings.h"

namespace RadishSwitch
{

/// Estimated current load of an endpoint. It combines the runs of this process, which are known exactly, with the runs
/// of other processes, which are estimated from the last report and the pool's mean.
struct LoadEstimate {
    /// Number of runs at the endpoint, queued ones included.
    double runs = 0;
    /// Runs divided by capacity. Above 1 when the endpoint has a queue.
    double utilisation = 0;
    /// Expected delay of a new run in seconds, by the endpoint's queue and by the slower steps of a full batch.
    double seconds = 0;
    /// Differences in `seconds` below this value are not significant: since the report, other processes may have sent
    /// that much work to the endpoint.
    double uncertaintySeconds = 0;
};

LoadEstimate estimateLoad(const EndpointState &state, const EndpointActivity &activity, const PoolLoad &pool,
                          const RoutingSettings &settings, Instant now);

/// Expected seconds from the dispatch to the first token, in two parts: the delay by the endpoint's load, which is an
/// estimate, and the delays that are known well, such as prefill and network distance.
struct RouteCost {
    double loadSeconds = 0;
    double knownSeconds = 0;
    double uncertaintySeconds = 0;

    double seconds() const
    {
        return loadSeconds + knownSeconds;
    }
};

/// Expected cost of running the query at the endpoint, if the endpoint's cache holds the first `cachedBlocks` of the
/// query's prefix hashes.
RouteCost estimateCost(const EndpointState &state, const EndpointActivity &activity, const LoadEstimate &load,
                       std::size_t cachedBlocks, const RouteQuery &query, const RoutingSettings &settings, Instant now);

/// The capacity that the endpoint reports, or the default of the settings when it reports none.
std::uint32_t capacityOf(const EndpointLoad &load, const RoutingSettings &settings);

/// Returns "model" for "model:adapter", and a name without an adapter as it is.
std::string baseModelOf(const std::string &model);

}
