#pragma once

#include "serving/servingroute.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace RadishSwitch
{

/// Properties that all endpoints of a pool share.
struct ServedPool {
    PoolId name;
    /// Maximum number of connections that one endpoint accepts from all callers together; zero if it is not limited.
    int maximumConnections = 0;
    /// Whether the pool's endpoints are model engines.
    bool hasEngines = false;
    /// Maximum number of tokens in one event of a stream; zero if answers have no tokens.
    int tokensPerEvent = 0;
    /// Calls per second from all callers together that a cold endpoint can handle; zero if they are not limited.
    double coldCallsPerSecond = 0;
    /// How long an endpoint stays cold after its start; zero if it has no cold phase.
    Duration coldStart{};

    /// Number of events of a streamed answer with so many tokens; zero if answers have no tokens.
    std::int64_t eventsOf(std::int64_t tokens) const
    {
        return tokensPerEvent > 0 ? (tokens + tokensPerEvent - 1) / tokensPerEvent : 0;
    }

    bool operator==(const ServedPool &) const = default;
};

/// An organisation in the current configuration.
struct ServedOrganisation {
    OrganisationId name;
    std::vector<std::string> apiKeys;
    /// Replaces the priority of the routes if it is set; 0 is the most urgent.
    std::optional<int> priority;
    /// Number of tokens paid for in total; not set if the organisation's use is not limited.
    std::optional<std::int64_t> prepaidTokens;
    /// Regions to which the organisation's calls are restricted; empty if they are not restricted.
    std::vector<std::string> allowedRegions;

    bool operator==(const ServedOrganisation &) const = default;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
    std::size_t maximumHeaderBytes = 16 * 1024;
    std::size_t maximumBodyBytes = 8 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);

    bool operator==(const CallerLimits &) const = default;
};

/// One version of the configuration by which calls are served.
struct ServingConfiguration {
    std::uint64_t version = 0;
    std::vector<ServingRoute> routes;
    std::vector<ServedPool> pools;
    std::vector<ServedOrganisation> organisations;
    CallerLimits limits;

    bool operator==(const ServingConfiguration &) const = default;
};

}
