#include "serving/coldstarts.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

ColdStarts::ColdStarts(std::string self, ColdStartSettings settings)
    : m_self(std::move(self))
    , m_selfHash(rendezvousHash(m_self))
    , m_settings(settings)
{
}

void ColdStarts::setPools(const std::vector<ServedPool> &pools)
{
    m_pools.clear();
    m_shares.clear();
    for (const ServedPool &pool : pools) {
        m_pools[pool.name] = {pool.coldCallsPerSecond, pool.coldStart};
    }
}

void ColdStarts::setGateways(const std::vector<std::string> &gateways)
{
    m_otherHashes.clear();
    m_shares.clear();
    for (const std::string &gateway : gateways) {
        if (gateway != m_self) {
            m_otherHashes.push_back(rendezvousHash(gateway));
        }
    }
}

Duration ColdStarts::usualSpan(const PoolId &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? Duration::zero() : it->second.span;
}

std::size_t ColdStarts::ownCalls(const PoolId &pool, std::uint64_t endpointHash) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end() || it->second.callsPerSecond <= 0) {
        return kUnbounded;
    }
    const auto [share, isNew] = m_shares.try_emplace(endpointHash);
    if (isNew) {
        share->second = shareOf(it->second.callsPerSecond, endpointHash);
    }
    return share->second;
}

std::size_t ColdStarts::shareOf(double callsPerSecond, std::uint64_t endpointHash) const
{
    // One that bears less than a call a second must still get some, or it would never be of use.
    const auto all = static_cast<std::size_t>(std::max(callsPerSecond * m_settings.overshoot, 1.0));
    const std::size_t gateways = m_otherHashes.size() + 1;
    const std::size_t share = std::max<std::size_t>(all / gateways, 1);
    return isAmongFirst(endpointHash, all / share) ? share : 0;
}

bool ColdStarts::isAmongFirst(std::uint64_t endpointHash, std::size_t count) const
{
    const std::uint64_t ownScore = rendezvousScore(m_selfHash, endpointHash);
    const auto before = std::ranges::count_if(m_otherHashes, [&](std::uint64_t other) {
        return rendezvousScore(other, endpointHash) > ownScore;
    });
    return static_cast<std::size_t>(before) < count;
}

}
