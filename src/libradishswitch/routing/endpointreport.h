#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// A change of an endpoint's prefix cache. Events of one incarnation are numbered without holes, so that a listener
/// sees when it missed one.
struct CacheEvent {
    std::uint64_t sequence = 0;
    /// Stored, or else evicted.
    bool isStored = false;
    std::vector<std::uint64_t> prefixHashes;

    bool operator==(const CacheEvent &) const = default;
};

/// How busy an endpoint was a while ago.
struct EndpointLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Runs that the endpoint serves at once. Zero when it does not say.
    std::uint32_t capacity = 0;
    /// Tokens in the endpoint's queue ahead of new work.
    std::int64_t queuedTokens = 0;
    /// Speed over all runs together, measured by the agent. Zero when nothing was measured yet.
    double tokensPerSecond = 0;
    /// How old the figures were when they arrived.
    Duration age{};

    bool operator==(const EndpointLoad &) const = default;
};

/// What an agent tells of its endpoint.
struct EndpointReport {
    EndpointId endpoint;
    IncarnationId incarnation;
    /// Grows with every report of one incarnation.
    std::uint64_t sequence = 0;
    PoolId pool;
    std::string address;
    std::string zone;
    std::string region;
    bool isLeaving = false;
    bool isHealthy = true;
    EndpointLoad load;
    /// How long this life of the agent had lasted when it reported; nothing when it did not say.
    std::optional<Duration> uptime;
    /// Models that the endpoint answers for. Empty for a plain service.
    std::vector<std::string> models;
    /// Adapters in its memory, each named "model:adapter".
    std::vector<std::string> adapters;
    std::vector<CacheEvent> cacheEvents;

    bool operator==(const EndpointReport &) const = default;
};

}
