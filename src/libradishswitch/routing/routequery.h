#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The request for which the router chooses an endpoint.
struct RouteQuery {
    PoolId pool;
    /// Name of the pool's routing policy in the configuration table. Empty for the default policy.
    std::string policy;
    /// "model" or "model:adapter". Empty for a plain service.
    std::string model;
    /// Chain hashes of the prompt, one for each block, in the order of the blocks.
    std::vector<std::uint64_t> prefixHashes;
    std::int64_t promptTokens = 0;
    /// Upper bound on the number of tokens of the answer.
    std::int64_t maximumTokens = 0;
    /// Endpoints that earlier attempts of the request used already.
    std::vector<EndpointId> excluded;
    /// The software version of the endpoint that began the answer which is to be continued; nullopt for any. Endpoints
    /// that report no version count as being of one version.
    std::optional<SoftwareVersion> requiredVersion;
    /// Only endpoints whose agents started before this time may be chosen.
    Instant startedBefore = Instant::max();
    /// Availability zone and region of this process.
    std::string zone;
    std::string region;
};

/// The chosen endpoint, and the address of its agent.
struct RouteChoice {
    EndpointId endpoint;
    std::string address;
    /// The software that the endpoint ran according to its last report.
    SoftwareVersion softwareVersion = {};

    bool operator==(const RouteChoice &) const = default;
};

/// How a run ended, as far as it says something about the health of the endpoint.
enum class RunEnd {
    Ok,
    /// The endpoint failed the run, became unreachable, or did not answer before a deadline.
    Failed,
    /// The agent or the endpoint did not accept the run.
    Refused,
    /// The caller disconnected.
    Cancelled,
};

}
