#include "serving/affinityranking.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <functional>

namespace RadishSwitch
{

AffinityRanking::AffinityRanking(const EndpointRegistry &registry)
    : m_registry(registry)
{
}

const AffinityRanking::Ranked &AffinityRanking::first(const PoolId &pool, std::uint64_t key)
{
    PoolRanking &ranking = m_pools[pool];
    if (ranking.version != m_registry.poolsVersion()) {
        update(ranking, pool);
    }
    if (const auto it = ranking.byKey.find(key); it != ranking.byKey.end()) {
        return it->second;
    }
    if (ranking.byKey.size() >= kMaximumKeys) {
        ranking.byKey.clear();
    }
    return ranking.byKey.emplace(key, rank(ranking, key)).first->second;
}

void AffinityRanking::update(PoolRanking &ranking, const PoolId &pool) const
{
    ranking.version = m_registry.poolsVersion();
    ranking.byKey.clear();
    ranking.endpoints.clear();
    for (const EndpointSlot slot : m_registry.pool(pool)) {
        ranking.endpoints.emplace_back(m_registry.at(slot).hash, slot);
    }
}

AffinityRanking::Ranked AffinityRanking::rank(const PoolRanking &ranking, std::uint64_t key)
{
    using Scored = std::pair<std::uint64_t, EndpointSlot>;
    // A heap of the highest scores with the lowest of them in front.
    absl::InlinedVector<Scored, kRanked> highest;
    for (const auto &[hash, slot] : ranking.endpoints) {
        const Scored scored(rendezvousScore(hash, key), slot);
        if (highest.size() == kRanked) {
            if (scored < highest.front()) {
                continue;
            }
            std::ranges::pop_heap(highest, std::greater<>());
            highest.pop_back();
        }
        highest.push_back(scored);
        std::ranges::push_heap(highest, std::greater<>());
    }
    std::ranges::sort(highest, std::greater<>());
    Ranked ranked;
    for (const Scored &it : highest) {
        ranked.push_back(it.second);
    }
    return ranked;
}

}
