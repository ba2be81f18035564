#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace RadishSwitch
{

/// A run that an endpoint has started, as the endpoint reports it.
struct EndpointRun {
    /// Identifies the run among those of its endpoint. It may be a hash of the endpoint's own name for the run.
    std::uint64_t id = 0;
    /// Tokens of memory that it occupies.
    std::int64_t memoryTokens = 0;
    /// Events made for it so far.
    std::int64_t events = 0;
    int priority = 0;

    bool operator==(const EndpointRun &) const = default;
};

/// An endpoint's own report about its work at one moment.
struct EndpointReport {
    /// Start of its incarnation, in Unix milliseconds.
    std::int64_t startedAtMilliseconds = 0;
    /// Requests that wait to start, and those that it works on.
    std::int64_t queued = 0;
    std::int64_t active = 0;
    /// Used and total memory, in tokens.
    std::int64_t usedMemoryTokens = 0;
    std::int64_t totalMemoryTokens = 0;
    /// Tokens of the request that is next to start; nullopt if none waits.
    std::optional<std::int64_t> nextRequestTokens;
    /// False while it is leaving or not ready yet.
    bool isReady = true;
    /// The started runs; nullopt if the endpoint doesn't list them.
    std::optional<std::vector<EndpointRun>> runs;

    bool operator==(const EndpointReport &) const = default;
};

}
