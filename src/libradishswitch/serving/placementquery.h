#pragma once

#include "serving/allowedregions.h"
#include "serving/callrequest.h"

namespace RadishSwitch
{

/// The properties of a call that decide when and to which endpoint it is sent.
struct PlacementQuery {
    RequestId call;
    PoolId pool;
    OrganisationId organisation;
    /// 0 is the most urgent priority.
    int priority = 0;
    /// Upper bound of the call's tokens; 1 for a call without tokens.
    std::int64_t cost = 1;
    std::vector<PromptPart> parts;
    /// The last moment at which the call may be placed. After it, the answer would come too late for the caller.
    Instant deadline{};
    /// The software version at which a stream began that this call continues; nullopt for other calls. No endpoint
    /// matches an unknown version.
    std::optional<SoftwareVersion> requiredVersion;
    /// The call begins a stream that may be continued later.
    bool beginsStream = false;
    /// Endpoints that earlier attempts of the call have tried.
    std::vector<EndpointId> excluded;
    AllowedRegions regions;
    /// An answer that takes longer counts as late and indicates that its endpoint is overloaded. Zero for calls whose
    /// latency depends on their size and therefore says nothing about the endpoint's load.
    Duration lateAfter{};
    /// The first part of the answer is in time if it arrives within this time; zero if unknown.
    Duration targetLatency{};
    /// The longest pause between two events of a stream that is in time; zero if unknown, and for calls that are not
    /// streamed.
    Duration targetGap{};
    /// Expected number of events of a streamed answer; zero if unknown.
    std::int64_t expectedEvents = 0;

    bool operator==(const PlacementQuery &) const = default;
};

/// Identifies one placement within the CallGate that made it. A call has two while it is moved from one endpoint to
/// another.
using PlacementId = std::uint64_t;

/// The endpoint chosen for a call.
struct Placement {
    PlacementId id = 0;
    EndpointId endpoint;
    std::string address;
    std::string zone;
    /// Expected time until the first part of the answer, as estimated by this process.
    Duration expectedFirstAnswer{};
    /// Start time of the endpoint's incarnation that was chosen, as in its listing.
    std::int64_t startedAtMilliseconds = 0;
    /// False while the start is only a lower bound, since the incarnation before was seen to end.
    bool isStartKnown = true;
    /// The software that this incarnation runs, as in its listing.
    SoftwareVersion softwareVersion;

    bool operator==(const Placement &) const = default;
};

}
