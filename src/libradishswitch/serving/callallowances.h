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
    /// All gateways together may send a cold endpoint so many times what it is said to bear.
    double overshoot = 1;
};

/// How many calls this process may send to an endpoint that bears few: one that is cold, or says itself what it takes.
///
/// Load pattern: the endpoints of a whole zone come back at once, empty, and therefore look like the best choice to
/// every gateway at the same moment. One that is sent far more than it bears while it is cold crashes. The bound is on
/// what all gateways send together, and no one counts for all of them; so each has a fixed part of it, by its weight:
/// after a loss of power strong instances are back first, and have the callers of all. What whole calls leave over goes
/// to as many gateways by rendezvous hashing, other ones for each endpoint, without a word between them.
class CallAllowances
{
public:
    static constexpr std::size_t kUnbounded = std::numeric_limits<std::size_t>::max();

    explicit CallAllowances(std::string self, AllowanceSettings settings = {});

    /// What the endpoints of each pool bear.
    void setPools(const std::vector<ServedPool> &pools);

    /// The weights of all gateways that may send calls, by their names. Where this one is not among them it counts as
    /// one of average weight.
    void setGateways(const std::map<std::string, double> &weights);

    /// How many gateways may send calls, this one among them.
    std::size_t gateways() const
    {
        return m_others.size() + 1;
    }

    /// How long an endpoint stays cold that has just started; zero where the pool's endpoints are never cold.
    Duration coldStartDuration(const PoolId &pool) const;

    /// Calls a second that this process may send to an endpoint, by its hash, while it is cold; kUnbounded where the
    /// pool has no bound.
    std::size_t ownColdCallsPerSecond(const PoolId &pool, std::uint64_t endpointHash) const;

    /// Calls within a span that this process may send to an endpoint, by its hash, where all together may send it
    /// `callsPerSecond`.
    std::size_t ownCalls(double callsPerSecond, Duration span, std::uint64_t endpointHash) const;

private:
    struct Bearing {
        double callsPerSecond = 0;
        Duration span{};
    };

    std::size_t ownShare(double calls, std::uint64_t endpointHash) const;
    std::size_t computeOwnShare(double all, std::uint64_t endpointHash) const;
    struct Gateway {
        std::uint64_t hash = 0;
        /// Of the weights of all.
        double share = 1;
    };

    bool isAmongFirst(std::uint64_t endpointHash, std::size_t count) const;

    const std::string m_self;
    Gateway m_own;
    const AllowanceSettings m_settings;
    std::vector<Gateway> m_others;
    absl::flat_hash_map<PoolId, Bearing> m_pools;
    /// Own calls by the calls of all and endpoints' hashes, since hundreds of gateways are compared for each.
    mutable absl::flat_hash_map<std::pair<double, std::uint64_t>, std::size_t> m_shares;
};

}
