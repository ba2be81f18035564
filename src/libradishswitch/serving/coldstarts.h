#pragma once

#include "base/timerservice.h"
#include "serving/servingconfiguration.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct ColdStartSettings {
    /// All gateways together may send a cold endpoint so many times what it is said to bear.
    double overshoot = 1;
};

/// How many calls this process may send to an endpoint that is cold.
///
/// Load pattern: the endpoints of a whole zone come back at once, empty, and therefore look like the best choice to
/// every gateway at the same moment. One that is sent far more than it bears while it is cold crashes. The bound is on
/// what all gateways send together, and no one counts for all of them; so each has a fixed part of it. Where gateways
/// outnumber the calls of a second, rendezvous hashing gives each endpoint as many gateways as it bears calls, without
/// a word between them.
class ColdStarts
{
public:
    static constexpr std::size_t kUnbounded = std::numeric_limits<std::size_t>::max();

    explicit ColdStarts(std::string self, ColdStartSettings settings = {});

    /// What the endpoints of each pool bear.
    void setPools(const std::vector<ServedPool> &pools);

    /// All gateways that may send calls, by their names; this one may be among them.
    void setGateways(const std::vector<std::string> &gateways);

    /// How long an endpoint stays cold that has just started; zero where the pool's endpoints are never cold.
    Duration usualSpan(const PoolId &pool) const;

    /// Calls a second that this process may send to an endpoint, by its hash, while it is cold; kUnbounded where the
    /// pool has no bound.
    std::size_t ownCalls(const PoolId &pool, std::uint64_t endpointHash) const;

private:
    struct Bearing {
        double callsPerSecond = 0;
        Duration span{};
    };

    std::size_t shareOf(double callsPerSecond, std::uint64_t endpointHash) const;
    bool isAmongFirst(std::uint64_t endpointHash, std::size_t count) const;

    const std::string m_self;
    const std::uint64_t m_selfHash;
    const ColdStartSettings m_settings;
    /// Those of the other gateways.
    std::vector<std::uint64_t> m_otherHashes;
    absl::flat_hash_map<PoolId, Bearing> m_pools;
    /// Own calls by endpoints' hashes, since hundreds of gateways are compared for each.
    mutable absl::flat_hash_map<std::uint64_t, std::size_t> m_shares;
};

}
