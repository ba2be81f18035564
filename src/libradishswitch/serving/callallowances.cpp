#include "serving/callallowances.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Upper bound of the cache, which is cleared when it is full: endpoints appear under new ids and announce new limits
/// all day.
constexpr std::size_t kMaxCachedShares = 10'000;
/// Upper bound of the calls within a time window, more than any endpoint takes. Larger announced limits could overflow
/// the counters.
constexpr double kMaxCalls = 1e9;

}

CallAllowances::CallAllowances(std::string self, AllowanceSettings settings)
    : m_self(std::move(self))
    , m_own{rendezvousHash(m_self), 1}
    , m_settings(settings)
{
}

void CallAllowances::setPools(const std::vector<ServedPool> &pools)
{
    m_pools.clear();
    m_shares.clear();
    for (const ServedPool &pool : pools) {
        m_pools[pool.name] = {pool.coldCallsPerSecond, pool.coldStart};
    }
}

void CallAllowances::setGateways(const std::map<std::string, double> &weights)
{
    m_others.clear();
    m_shares.clear();
    double sum = 0;
    for (const auto &[name, weight] : weights) {
        sum += weight;
    }
    const auto self = weights.find(m_self);
    const double average = weights.empty() || sum <= 0 ? 1 : sum / static_cast<double>(weights.size());
    const double own = self == weights.end() ? average : self->second;
    sum += self == weights.end() ? own : 0;
    m_own.share = sum > 0 ? own / sum : 1;
    for (const auto &[name, weight] : weights) {
        if (name != m_self) {
            m_others.push_back({rendezvousHash(name), sum > 0 ? weight / sum : 0});
        }
    }
}

Duration CallAllowances::coldStartDuration(const PoolId &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? Duration::zero() : it->second.span;
}

std::size_t CallAllowances::ownColdCallsPerSecond(const PoolId &pool, std::uint64_t endpointHash) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end() || it->second.callsPerSecond <= 0) {
        return kUnbounded;
    }
    return ownShare(it->second.callsPerSecond * m_settings.overshoot, endpointHash);
}

std::size_t CallAllowances::ownCalls(double callsPerSecond, Duration span, std::uint64_t endpointHash) const
{
    return ownShare(callsPerSecond * std::chrono::duration<double>(span).count(), endpointHash);
}

std::size_t CallAllowances::ownShare(double calls, std::uint64_t endpointHash) const
{
    // A limit of less than one call is raised to one, or the endpoint would get no calls at all.
    const double all = std::floor(std::clamp(calls, 1.0, kMaxCalls));
    if (m_shares.size() >= kMaxCachedShares) {
        m_shares.clear();
    }
    const auto [share, isNew] = m_shares.try_emplace(std::pair(all, endpointHash));
    if (isNew) {
        share->second = computeOwnShare(all, endpointHash);
    }
    return share->second;
}

std::size_t CallAllowances::computeOwnShare(double all, std::uint64_t endpointHash) const
{
    const auto wholeCalls = [all](const Gateway &gateway) {
        return std::floor(all * gateway.share);
    };
    double left = all - wholeCalls(m_own);
    for (const Gateway &other : m_others) {
        left -= wholeCalls(other);
    }
    const bool hasOneMore = isAmongFirst(endpointHash, static_cast<std::size_t>(std::max(left, 0.0)));
    return static_cast<std::size_t>(wholeCalls(m_own)) + (hasOneMore ? 1 : 0);
}

bool CallAllowances::isAmongFirst(std::uint64_t endpointHash, std::size_t count) const
{
    const std::uint64_t ownScore = rendezvousScore(m_own.hash, endpointHash);
    const auto before = std::ranges::count_if(m_others, [&](const Gateway &other) {
        return rendezvousScore(other.hash, endpointHash) > ownScore;
    });
    return static_cast<std::size_t>(before) < count;
}

}
