#include "serving/homedirectory.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr std::string_view kWatchKey = "watch";

/// Of each kind of process so many are kept in the order of a key. As many must be unreachable at once before all have
/// to be ranked.
constexpr std::size_t kKeptOfEachKind = 24;

/// Keys are those of the ledger's shards.
constexpr std::size_t kMostOrders = 1000;

/// Of peers with weights v and w, the first has the greater score for v / (v + w) of all keys.
double weightedScore(std::uint64_t hash, std::uint64_t key, double weight)
{
    const double fraction = (static_cast<double>(rendezvousScore(hash, key)) + 1) * 0x1p-64;
    return -std::max(weight, 1e-6) / std::log(std::min(fraction, 1 - 1e-12));
}

}

std::map<std::string, FleetPeer> gatewaysAmong(const std::map<std::string, FleetPeer> &peers)
{
    std::map<std::string, FleetPeer> gateways;
    std::ranges::copy_if(peers, std::inserter(gateways, gateways.end()), [](const auto &entry) {
        return entry.second.kind == PeerKind::Gateway;
    });
    return gateways;
}

HomeDirectory::HomeDirectory(std::string self, HomeDirectorySettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
    setPeers({});
    m_arePeersKnown = false;
}

void HomeDirectory::setOwn(const FleetPeer &own)
{
    m_own = own;
    m_standings[m_self].peer = own;
    m_orders.clear();
}

void HomeDirectory::setPeers(const std::map<std::string, FleetPeer> &peers)
{
    m_arePeersKnown = true;
    m_orders.clear();
    absl::flat_hash_map<std::string, Standing> standings;
    standings[m_self] = Standing{m_own, rendezvousHash(m_self)};
    for (const auto &[name, peer] : peers) {
        const auto known = m_standings.find(name);
        Standing standing = known == m_standings.end() ? Standing() : known->second;
        standing.peer = peer;
        standing.hash = rendezvousHash(name);
        standings[name] = standing;
    }
    m_standings = std::move(standings);
}

void HomeDirectory::leave()
{
    m_isLeaving = true;
}

HomeDirectory::Rank HomeDirectory::rankOf(const Standing &standing, std::uint64_t keyHash)
{
    const bool isHome = standing.peer.kind == PeerKind::Home;
    return {isHome, weightedScore(standing.hash, keyHash, standing.peer.weight)};
}

HomeDirectory::Order HomeDirectory::ranked(std::string_view key, std::size_t most) const
{
    const std::uint64_t keyHash = rendezvousHash(key);
    std::vector<std::pair<Rank, std::string_view>> all;
    all.reserve(m_standings.size());
    for (const auto &[name, standing] : m_standings) {
        all.emplace_back(rankOf(standing, keyHash), name);
    }
    std::ranges::sort(all, std::greater<>());
    Order order;
    std::size_t homes = 0;
    std::size_t gateways = 0;
    for (const auto &[rank, name] : all) {
        std::size_t &kept = std::get<bool>(rank) ? homes : gateways;
        if (kept++ < most) {
            order.names.emplace_back(name);
        }
    }
    order.isCut = homes > most || gateways > most;
    return order;
}

const HomeDirectory::Order &HomeDirectory::orderOf(std::string_view key) const
{
    if (m_orders.size() >= kMostOrders) {
        m_orders.clear();
    }
    const auto [it, isNew] = m_orders.try_emplace(std::string(key));
    if (isNew) {
        it->second = ranked(key, kKeptOfEachKind);
    }
    return it->second;
}

std::vector<std::string> HomeDirectory::candidates(std::string_view key, Instant now) const
{
    if (const auto few = candidatesAmong(orderOf(key), now)) {
        return *few;
    }
    return *candidatesAmong(ranked(key, m_standings.size()), now);
}

std::optional<std::vector<std::string>> HomeDirectory::candidatesAmong(const Order &order, Instant now) const
{
    std::vector<std::string> names;
    std::size_t homes = 0;
    std::size_t gateways = 0;
    bool hasSelf = false;
    for (const std::string &name : order.names) {
        const Standing &standing = m_standings.at(name);
        if (name == m_self) {
            hasSelf = true;
            names.push_back(name);
            continue;
        }
        const bool isHome = standing.peer.kind == PeerKind::Home;
        std::size_t &taken = isHome ? homes : gateways;
        if (now >= standing.pausedUntil && taken < (isHome ? m_settings.mostHomes : m_settings.mostGateways)) {
            ++taken;
            names.push_back(name);
        }
    }
    const bool isEnough = homes == m_settings.mostHomes && gateways == m_settings.mostGateways;
    if (order.isCut && !isEnough) {
        return std::nullopt;
    }
    if (!hasSelf) {
        names.push_back(m_self);
    }
    if (m_isLeaving && names.size() > 1) {
        std::erase(names, m_self);
    }
    return names;
}

std::string HomeDirectory::nearestHome(Instant now) const
{
    const std::string &zone = m_standings.at(m_self).peer.zone;
    const std::uint64_t keyHash = rendezvousHash(kWatchKey);
    std::pair<Rank, std::string> best;
    for (const auto &[name, standing] : m_standings) {
        if (standing.peer.kind == PeerKind::Home && now >= standing.pausedUntil) {
            const double score = weightedScore(standing.hash, keyHash, standing.peer.weight);
            best = std::max(best, {Rank(standing.peer.zone == zone, score), name});
        }
    }
    return best.second;
}

void HomeDirectory::watchAlone()
{
    m_watchesAlone = true;
}

// Whoever watches sends each change to all of its zone. A configuration of 240 kB for twenty gateways takes a link of
// 20 Mbit/s two seconds, and versions that came faster than that were in force four seconds late in all of the zone;
// one of 200 Mbit/s takes 0.2 s. Links are as wide as shares of a core are large.
std::string HomeDirectory::watcher(Instant now) const
{
    if (m_watchesAlone) {
        return m_self;
    }
    const std::string &zone = m_standings.at(m_self).peer.zone;
    const double strong = m_settings.strongShare * greatestWeight(zone);
    const std::uint64_t keyHash = rendezvousHash(kWatchKey);
    std::pair<Rank, std::string> best;
    for (const auto &[name, standing] : m_standings) {
        const FleetPeer &peer = standing.peer;
        const bool mayWatch = name == m_self || now >= standing.pausedUntil;
        if (peer.kind == PeerKind::Gateway && peer.zone == zone && mayWatch) {
            const Rank rank(peer.weight >= strong, weightedScore(standing.hash, keyHash, peer.weight));
            best = std::max(best, {rank, name});
        }
    }
    return best.second;
}

double HomeDirectory::greatestWeight(const std::string &zone) const
{
    double greatest = 0;
    for (const auto &[name, standing] : m_standings) {
        const bool isOfZone = standing.peer.kind == PeerKind::Gateway && standing.peer.zone == zone;
        greatest = std::max(greatest, isOfZone ? standing.peer.weight : 0);
    }
    return greatest;
}

std::string HomeDirectory::usualHome(std::string_view key) const
{
    if (const auto home = usualHomeAmong(orderOf(key))) {
        return *home;
    }
    return usualHomeAmong(ranked(key, m_standings.size())).value_or(std::string());
}

std::optional<std::string> HomeDirectory::usualHomeAmong(const Order &order) const
{
    constexpr int kFailuresOfTheGone = 4;
    for (const std::string &name : order.names) {
        const Standing &standing = m_standings.at(name);
        if (order.isCut && standing.peer.kind == PeerKind::Gateway) {
            return std::nullopt;
        }
        if (standing.failures < kFailuresOfTheGone && !(m_isLeaving && name == m_self)) {
            return name;
        }
    }
    return std::nullopt;
}

std::vector<std::string> HomeDirectory::reachablePeers(Instant now) const
{
    std::vector<std::string> names;
    for (const PeerKind kind : {PeerKind::Home, PeerKind::Gateway}) {
        for (const auto &[name, standing] : m_standings) {
            if (standing.peer.kind == kind && name != m_self && now >= standing.pausedUntil) {
                names.push_back(name);
            }
        }
    }
    return names;
}

std::string HomeDirectory::addressOf(const std::string &peer) const
{
    const auto it = m_standings.find(peer);
    return it == m_standings.end() ? std::string() : it->second.peer.address;
}

void HomeDirectory::noteUnreachable(const std::string &peer, Instant now)
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

void HomeDirectory::forgetFailures()
{
    for (auto &[name, standing] : m_standings) {
        standing.failures = 0;
        standing.pausedUntil = Instant::min();
    }
}

void HomeDirectory::noteReached(const std::string &peer)
{
    const auto it = m_standings.find(peer);
    if (it != m_standings.end()) {
        it->second.failures = 0;
        it->second.pausedUntil = Instant::min();
    }
}

}
