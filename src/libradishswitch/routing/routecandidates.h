#pragma once

#include "base/randomsource.h"
#include "routing/endpointactivity.h"
#include "routing/endpointdirectory.h"
#include "routing/prefixcachehints.h"
#include "routing/routecost.h"

#include <vector>

namespace RadishSwitch
{

/// What a policy sees of one decision: the endpoints that answer for the model, and what is known of them.
struct RouteCandidates {
    /// How far to bend the rules on which endpoints are usable.
    enum class EjectedEndpoints {
        Excluded,
        /// Nothing usual is left: take ejected ones too, rather than have no endpoint at all.
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

    bool isUsable(EndpointSlot slot) const;
    LoadEstimate load(EndpointSlot slot) const;
    RouteCost cost(EndpointSlot slot, const LoadEstimate &load) const;
    /// The share of its turns that a new endpoint takes, from the floor up to one.
    double slowStartShare(EndpointSlot slot) const;
};

}
