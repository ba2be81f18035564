#include "serving/budgethomes.h"

#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

BudgetHomes::BudgetHomes(std::string self, BudgetHomesSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
    setPeers({});
}

void BudgetHomes::setPeers(const std::vector<std::string> &peers)
{
    absl::flat_hash_map<std::string, Standing> standings;
    for (const std::string &peer : peers) {
        const auto known = m_standings.find(peer);
        standings[peer] = known == m_standings.end() ? Standing{rendezvousHash(peer)} : known->second;
    }
    standings[m_self] = Standing{rendezvousHash(m_self)};
    m_standings = std::move(standings);
}

std::vector<std::string> BudgetHomes::candidates(const BudgetId &budget, Instant now) const
{
    const std::uint64_t key = rendezvousHash(budget.toString());
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    for (const auto &[name, standing] : m_standings) {
        if (name == m_self || now >= standing.pausedUntil) {
            scored.emplace_back(rendezvousScore(standing.hash, key), name);
        }
    }
    std::ranges::sort(scored, std::greater<>());
    std::vector<std::string> names;
    for (const auto &[score, name] : scored) {
        if (name == m_self || names.size() == m_settings.mostPeers) {
            break;
        }
        names.push_back(name);
    }
    names.push_back(m_self);
    return names;
}

void BudgetHomes::noteUnreachable(const std::string &peer, Instant now)
{
    const auto it = m_standings.find(peer);
    if (it == m_standings.end() || now < it->second.pausedUntil) {
        return;
    }
    constexpr int kMostDoublings = 10;
    const Duration pause = m_settings.firstPause * (1 << std::min(it->second.failures, kMostDoublings));
    it->second.failures += 1;
    it->second.pausedUntil = now + std::min(pause, m_settings.longestPause);
}

void BudgetHomes::noteReached(const std::string &peer)
{
    const auto it = m_standings.find(peer);
    if (it != m_standings.end()) {
        it->second.failures = 0;
        it->second.pausedUntil = Instant::min();
    }
}

}
