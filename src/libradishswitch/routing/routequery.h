#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// What a request asks of the router.
struct RouteQuery {
    PoolId pool;
    /// The pool's policy as named in the table; empty for the default one.
    std::string policy;
    /// "model" or "model:adapter". Empty for a plain service.
    std::string model;
    /// Chain hashes of the prompt, one a block, the first block first.
    std::vector<std::uint64_t> prefixHashes;
    std::int64_t promptTokens = 0;
    /// Bound on the tokens of the answer.
    std::int64_t maximumTokens = 0;
    /// Endpoints that earlier attempts of the request have tried.
    std::vector<EndpointId> excluded;
    /// Only agents that had started by then may be chosen.
    Instant startedBefore = Instant::max();
    /// Where the asking process is.
    std::string zone;
    std::string region;
};

/// The endpoint chosen, and its agent's address.
struct RouteChoice {
    EndpointId endpoint;
    std::string address;

    bool operator==(const RouteChoice &) const = default;
};

/// How a run ended, as far as the endpoint is to blame or to praise.
enum class RunEnd {
    Ok,
    /// The endpoint failed it, was cut off, or kept silent past a deadline.
    Failed,
    /// The agent or the endpoint did not take it.
    Refused,
    /// The caller went away.
    Cancelled,
};

}
