#pragma once

#include "serving/servingroute.h"

#include <cstddef>
#include <optional>

namespace RadishSwitch
{

/// What the endpoints of a pool have in common.
struct ServedPool {
    PoolId name;
    /// Connections that one endpoint takes from all callers together; zero when it is not bounded.
    int maximumConnections = 0;
    /// Whether model engines serve it.
    bool hasEngines = false;
    /// Tokens in one event of a stream at most; zero where answers have no tokens.
    int tokensPerEvent = 0;
    /// Calls a second from all callers together that an endpoint bears while it is cold; zero where that is not
    /// bounded.
    double coldCallsPerSecond = 0;
    /// How long an endpoint stays cold after its start; zero where it never is.
    Duration coldStart{};

    bool operator==(const ServedPool &) const = default;
};

/// An organisation as the configuration in force has it.
struct ServedOrganisation {
    OrganisationId name;
    std::vector<std::string> apiKeys;
    /// Replaces the priority of the routes, where it is given; 0 is the most urgent.
    std::optional<int> priority;
    /// Tokens paid for in all; nothing where the organisation's use is not limited.
    std::optional<std::int64_t> prepaidTokens;
    /// Regions to which its calls are bound; none where they are not bound.
    std::vector<std::string> allowedRegions;

    bool operator==(const ServedOrganisation &) const = default;
};

/// Bounds on what callers may send and how long they may take.
struct CallerLimits {
    std::size_t maximumHeaderBytes = 16 * 1024;
    std::size_t maximumBodyBytes = 8 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);

    bool operator==(const CallerLimits &) const = default;
};

/// One version of everything that steers the serving of calls.
struct ServingConfiguration {
    std::uint64_t version = 0;
    std::vector<ServingRoute> routes;
    std::vector<ServedPool> pools;
    std::vector<ServedOrganisation> organisations;
    CallerLimits limits;

    bool operator==(const ServingConfiguration &) const = default;
};

}
