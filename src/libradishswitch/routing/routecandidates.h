#pragma once

#include "base/randomsource.h"
#include "routing/endpointactivity.h"
#include "routing/endpointdirectory.h"
#include "routing/prefixcachehints.h"
#include "routing/routecost.h"

#include <vector>

namespace RadishSwitch
{

/// The input of a routing policy for one decision: the endpoints that serve the model, and what is known about them.
struct RouteCandidates {
    /// Whether ejected endpoints may be chosen.
    enum class EjectedEndpoints {
        Excluded,
        /// Used when no other endpoint is left: an ejected endpoint is better than none.
        Included,
    };

    const RouteQuery &query;
    const std::vector<EndpointSlot> &slots;
    const EndpointDirectory &directory;
    const std::vector<EndpointActivity> &activities;
    const PrefixCacheHints &hints;
    const PoolLoad &poolLoad;
    const RoutingSettings &settings;
    RandomSource &random;
    EjectedEndpoints ejectedEndpoints;
    Instant now;

    /// Whether the endpoint may be chosen for the query.
    bool isUsable(EndpointSlot slot) const;
    LoadEstimate load(EndpointSlot slot) const;
    RouteCost cost(EndpointSlot slot, const LoadEstimate &load) const;
    /// The probability with which an endpoint in its slow start is considered, rising from
    /// `RoutingSettings::slowStartFloor` to 1.
    double slowStartShare(EndpointSlot slot) const;
};

}
