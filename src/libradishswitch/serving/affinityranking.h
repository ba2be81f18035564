#pragma once

#include "serving/endpointregistry.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace RadishSwitch
{

/// The first endpoints of a pool in the order of rendezvous hashing for a key, the highest score first.
///
/// Load pattern: pools of 600 endpoints, and prefixes that many calls share. Computing the scores of all endpoints for
/// each call takes longer than comparing the few that are candidates, so the order is kept for each key until the pool
/// changes. It does not depend on the state of the endpoints: the caller skips those that it can't use.
class AffinityRanking
{
public:
    /// A pool in which half of the endpoints are unusable has a usable one among these, except for one key in 65,000.
    static constexpr std::size_t kRanked = 16;
    /// Keys that are kept for a pool. Each takes about 100 bytes.
    static constexpr std::size_t kMaximumKeys = 4096;

    using Ranked = absl::InlinedVector<EndpointSlot, kRanked>;

    explicit AffinityRanking(const EndpointRegistry &registry);

    /// Valid until the next call.
    const Ranked &first(const PoolId &pool, std::uint64_t key);

private:
    struct PoolRanking {
        std::uint64_t version = 0;
        /// Hashes and slots of the pool's endpoints.
        std::vector<std::pair<std::uint64_t, EndpointSlot>> endpoints;
        absl::flat_hash_map<std::uint64_t, Ranked> byKey;
    };

    void update(PoolRanking &ranking, const PoolId &pool) const;
    static Ranked rank(const PoolRanking &ranking, std::uint64_t key);

    const EndpointRegistry &m_registry;
    absl::flat_hash_map<PoolId, PoolRanking> m_pools;
};

}
