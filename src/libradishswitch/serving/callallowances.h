#pragma once

#include "base/timerservice.h"
#include "serving/servingconfiguration.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace RadishSwitch
{

struct AllowanceSettings {
    /// Multiple of its limit that all gateways together may send to a cold endpoint.
    double overshoot = 1;
};

/// Computes this process's share of the calls to an endpoint with a limit: one that is cold, or that has announced a
/// limit.
///
/// Load pattern: the endpoints of a whole zone come back at once, idle and cold, and look like the best choice to every
/// gateway at the same moment. A cold endpoint that is sent far more calls than it can take crashes.
///
/// The limit applies to all gateways together, but no process counts for all of them. Each gateway therefore has a
/// fixed share in proportion to its weight: after a power loss strong instances are back first and serve all callers.
/// Calls left over when the shares are rounded down to whole calls go to that many gateways, selected by rendezvous
/// hashing for each endpoint, without communication.
class CallAllowances
{
public:
    static constexpr std::size_t kUnbounded = std::numeric_limits<std::size_t>::max();

    explicit CallAllowances(std::string self, AllowanceSettings settings = {});

    /// Sets the limits of cold endpoints of each pool.
    void setPools(const std::vector<ServedPool> &pools);

    /// Sets the weights of all gateways that may send calls, by name. If this gateway is not among them, it is added
    /// with the average weight.
    void setGateways(const std::map<std::string, double> &weights);

    /// Number of gateways that may send calls, including this one.
    std::size_t gateways() const
    {
        return m_others.size() + 1;
    }

    /// Time for which an endpoint stays cold after its start; zero if the pool's endpoints are never cold.
    Duration coldStartDuration(const PoolId &pool) const;

    /// Calls per second that this process may send to a cold endpoint, given by its hash; kUnbounded if the pool has no
    /// limit.
    std::size_t ownColdCallsPerSecond(const PoolId &pool, std::uint64_t endpointHash) const;

    /// Calls within `span` that this process may send to an endpoint, given by its hash, that all gateways together may
    /// send `callsPerSecond`.
    std::size_t ownCalls(double callsPerSecond, Duration span, std::uint64_t endpointHash) const;

private:
    struct ColdLimit {
        double callsPerSecond = 0;
        Duration span{};
    };

    std::size_t ownShare(double calls, std::uint64_t endpointHash) const;
    std::size_t computeOwnShare(double all, std::uint64_t endpointHash) const;
    struct Gateway {
        std::uint64_t hash = 0;
        /// Fraction of the sum of all weights.
        double share = 1;
    };

    bool isAmongFirst(std::uint64_t endpointHash, std::size_t count) const;

    const std::string m_self;
    Gateway m_own;
    const AllowanceSettings m_settings;
    std::vector<Gateway> m_others;
    absl::flat_hash_map<PoolId, ColdLimit> m_pools;
    /// Cache of this process's calls by the calls of all gateways and the endpoint's hash, since each computation
    /// compares hundreds of gateways.
    mutable absl::flat_hash_map<std::pair<double, std::uint64_t>, std::size_t> m_shares;
};

}
