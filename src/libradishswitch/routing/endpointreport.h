#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// A change of an endpoint's prefix cache. The events of one incarnation are numbered without gaps, so that a listener
/// notices when it missed one.
struct CacheEvent {
    std::uint64_t sequence = 0;
    /// True when the prefixes were stored in the cache, false when they were evicted.
    bool isStored = false;
    std::vector<std::uint64_t> prefixHashes;

    bool operator==(const CacheEvent &) const = default;
};

/// The load of an endpoint at the time when its agent measured it.
struct EndpointLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Number of runs that the endpoint serves at the same time. Zero when the endpoint does not report it.
    std::uint32_t capacity = 0;
    /// Number of tokens of the runs that are queued at the endpoint ahead of new work.
    std::int64_t queuedTokens = 0;
    /// Tokens per second of all runs together, as measured by the agent. Zero when nothing was measured yet.
    double tokensPerSecond = 0;
    /// Time from the measurement until the figures arrived at this process.
    Duration age{};

    bool operator==(const EndpointLoad &) const = default;
};

/// The periodic report of an agent about its endpoint.
struct EndpointReport {
    EndpointId endpoint;
    IncarnationId incarnation;
    /// Increases with every report of an incarnation.
    std::uint64_t sequence = 0;
    PoolId pool;
    std::string address;
    std::string zone;
    std::string region;
    bool isLeaving = false;
    bool isHealthy = true;
    EndpointLoad load;
    /// How long ago the agent process had started when it sent the report. Empty when the agent did not say.
    std::optional<Duration> uptime;
    /// Empty if the endpoint does not report it.
    SoftwareVersion softwareVersion;
    /// Models that the endpoint serves. Empty for a plain service, which has no models.
    std::vector<std::string> models;
    /// Adapters that are loaded at the endpoint, each named "model:adapter".
    std::vector<std::string> adapters;
    std::vector<CacheEvent> cacheEvents;

    bool operator==(const EndpointReport &) const = default;
};

}
