#pragma once

#include "serving/allowedregions.h"
#include "serving/callrequest.h"

namespace RadishSwitch
{

/// What decides where a call goes, and when.
struct PlacementQuery {
    RequestId call;
    PoolId pool;
    OrganisationId organisation;
    /// 0 is the most urgent.
    int priority = 0;
    /// Tokens at most; 1 for a call without tokens.
    std::int64_t cost = 1;
    std::vector<PromptPart> parts;
    /// The last moment at which it still helps to be placed.
    Instant deadline{};
    /// Endpoints that earlier attempts of the call have tried.
    std::vector<EndpointId> excluded;
    AllowedRegions regions;
    /// An answer that takes longer tells that its endpoint is sent too much; zero for calls whose answers tell nothing
    /// of the kind, since they take as long as they are large.
    Duration lateAfter{};

    bool operator==(const PlacementQuery &) const = default;
};

/// Names one placement in the gate that made it. A call has two while it is moved from one endpoint to another.
using PlacementId = std::uint64_t;

/// The endpoint chosen for a call.
struct Placement {
    PlacementId id = 0;
    EndpointId endpoint;
    std::string address;
    std::string zone;
    /// How long the first answer should take, by what is known here.
    Duration expectedFirstAnswer{};
    /// The life of the endpoint that is meant, as in its listing.
    std::int64_t startedAtMilliseconds = 0;

    bool operator==(const Placement &) const = default;
};

}
