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

/// Number of processes of each kind kept in the ranking of a key. Only if that many are unreachable at once must all
/// processes be ranked.
constexpr std::size_t kRankedPerKind = 24;

/// Bound on the kept rankings; the keys are those of the ledger's shards.
constexpr std::size_t kMaxRankings = 1000;

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

void HomeDirectory::setOwnPeer(const FleetPeer &own)
{
    m_own = own;
    m_peers[m_self].peer = own;
    m_rankings.clear();
}

void HomeDirectory::setPeers(const std::map<std::string, FleetPeer> &peers)
{
    m_arePeersKnown = true;
    m_rankings.clear();
    absl::flat_hash_map<std::string, PeerState> states;
    states[m_self] = PeerState{m_own, rendezvousHash(m_self)};
    for (const auto &[name, peer] : peers) {
        const auto known = m_peers.find(name);
        PeerState state = known == m_peers.end() ? PeerState() : known->second;
        state.peer = peer;
        state.hash = rendezvousHash(name);
        states[name] = state;
    }
    m_peers = std::move(states);
}

void HomeDirectory::leave()
{
    m_isLeaving = true;
}

HomeDirectory::Rank HomeDirectory::rankOf(const PeerState &state, std::uint64_t keyHash)
{
    const bool isHome = state.peer.kind == PeerKind::Home;
    return {isHome, weightedScore(state.hash, keyHash, state.peer.weight)};
}

HomeDirectory::Ranking HomeDirectory::makeRanking(std::string_view key, std::size_t maximumPerKind) const
{
    const std::uint64_t keyHash = rendezvousHash(key);
    std::vector<std::pair<Rank, std::string_view>> all;
    all.reserve(m_peers.size());
    for (const auto &[name, state] : m_peers) {
        all.emplace_back(rankOf(state, keyHash), name);
    }
    std::ranges::sort(all, std::greater<>());
    Ranking ranking;
    std::size_t homes = 0;
    std::size_t gateways = 0;
    for (const auto &[rank, name] : all) {
        std::size_t &kept = std::get<bool>(rank) ? homes : gateways;
        if (kept++ < maximumPerKind) {
            ranking.names.emplace_back(name);
        }
    }
    ranking.isTruncated = homes > maximumPerKind || gateways > maximumPerKind;
    return ranking;
}

const HomeDirectory::Ranking &HomeDirectory::rankingOf(std::string_view key) const
{
    if (m_rankings.size() >= kMaxRankings) {
        m_rankings.clear();
    }
    const auto [it, isNew] = m_rankings.try_emplace(std::string(key));
    if (isNew) {
        it->second = makeRanking(key, kRankedPerKind);
    }
    return it->second;
}

std::vector<std::string> HomeDirectory::candidates(std::string_view key, Instant now) const
{
    if (const auto topCandidates = candidatesAmong(rankingOf(key), now)) {
        return *topCandidates;
    }
    return *candidatesAmong(makeRanking(key, m_peers.size()), now);
}

std::optional<std::vector<std::string>> HomeDirectory::candidatesAmong(const Ranking &ranking, Instant now) const
{
    std::vector<std::string> names;
    std::size_t homes = 0;
    std::size_t gateways = 0;
    bool hasSelf = false;
    for (const std::string &name : ranking.names) {
        const PeerState &state = m_peers.at(name);
        if (name == m_self) {
            hasSelf = true;
            names.push_back(name);
            continue;
        }
        const bool isHome = state.peer.kind == PeerKind::Home;
        std::size_t &taken = isHome ? homes : gateways;
        if (now >= state.pausedUntil && taken < (isHome ? m_settings.maximumHomes : m_settings.maximumGateways)) {
            ++taken;
            names.push_back(name);
        }
    }
    const bool isEnough = homes == m_settings.maximumHomes && gateways == m_settings.maximumGateways;
    if (ranking.isTruncated && !isEnough) {
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

std::vector<std::string> HomeDirectory::ranked(std::string_view key, std::size_t maximumHomes,
                                               std::size_t maximumGateways) const
{
    std::vector<std::string> names;
    std::size_t homes = 0;
    std::size_t gateways = 0;
    for (const std::string &name : rankingOf(key).names) {
        const bool isHome = m_peers.at(name).peer.kind == PeerKind::Home;
        std::size_t &taken = isHome ? homes : gateways;
        if (taken < (isHome ? maximumHomes : maximumGateways)) {
            ++taken;
            names.push_back(name);
        }
    }
    return names;
}

bool HomeDirectory::mayBeAsked(const std::string &peer, Instant now) const
{
    const auto it = m_peers.find(peer);
    return it != m_peers.end() && now >= it->second.pausedUntil;
}

std::string HomeDirectory::nearestHome(Instant now) const
{
    return nearestHome(m_peers.at(m_self).peer.zone, now);
}

std::string HomeDirectory::nearestHome(const std::string &zone, Instant now) const
{
    const std::uint64_t keyHash = rendezvousHash(kWatchKey);
    std::pair<Rank, std::string> best;
    for (const auto &[name, state] : m_peers) {
        if (state.peer.kind == PeerKind::Home && now >= state.pausedUntil) {
            const double score = weightedScore(state.hash, keyHash, state.peer.weight);
            best = std::max(best, {Rank(state.peer.zone == zone, score), name});
        }
    }
    return best.second;
}

void HomeDirectory::watchAlone()
{
    m_watchesAlone = true;
}

// The watcher sends each change to all gateways of its zone. Sending a configuration of 240 kB to twenty gateways takes
// two seconds on a link of 20 Mbit/s, and configurations that changed faster took effect four seconds late in the whole
// zone. A link of 200 Mbit/s needs 0.2 s. An instance's weight tells its link's bandwidth, which grows with its share
// of a core.
std::string HomeDirectory::watcher(Instant now) const
{
    if (m_watchesAlone) {
        return m_self;
    }
    const std::string &zone = m_peers.at(m_self).peer.zone;
    const double strong = m_settings.strongShare * greatestWeight(zone);
    const std::uint64_t keyHash = rendezvousHash(kWatchKey);
    std::pair<Rank, std::string> best;
    for (const auto &[name, state] : m_peers) {
        const FleetPeer &peer = state.peer;
        const bool mayWatch = name == m_self || now >= state.pausedUntil;
        if (peer.kind == PeerKind::Gateway && peer.zone == zone && mayWatch) {
            const Rank rank(peer.weight >= strong, weightedScore(state.hash, keyHash, peer.weight));
            best = std::max(best, {rank, name});
        }
    }
    return best.second;
}

double HomeDirectory::greatestWeight(const std::string &zone) const
{
    double greatest = 0;
    for (const auto &[name, state] : m_peers) {
        const bool isOfZone = state.peer.kind == PeerKind::Gateway && state.peer.zone == zone;
        greatest = std::max(greatest, isOfZone ? state.peer.weight : 0);
    }
    return greatest;
}

std::string HomeDirectory::usualHome(std::string_view key) const
{
    if (const auto home = usualHomeAmong(rankingOf(key))) {
        return *home;
    }
    return usualHomeAmong(makeRanking(key, m_peers.size())).value_or(std::string());
}

std::optional<std::string> HomeDirectory::usualHomeAmong(const Ranking &ranking) const
{
    constexpr int kFailuresUntilGone = 4;
    for (const std::string &name : ranking.names) {
        const PeerState &state = m_peers.at(name);
        if (ranking.isTruncated && state.peer.kind == PeerKind::Gateway) {
            return std::nullopt;
        }
        if (state.failures < kFailuresUntilGone && !(m_isLeaving && name == m_self)) {
            return name;
        }
    }
    return std::nullopt;
}

std::vector<std::string> HomeDirectory::reachablePeers(Instant now) const
{
    std::vector<std::string> names;
    for (const PeerKind kind : {PeerKind::Home, PeerKind::Gateway}) {
        for (const auto &[name, state] : m_peers) {
            if (state.peer.kind == kind && name != m_self && now >= state.pausedUntil) {
                names.push_back(name);
            }
        }
    }
    return names;
}

std::string HomeDirectory::addressOf(const std::string &peer) const
{
    const auto it = m_peers.find(peer);
    return it == m_peers.end() ? std::string() : it->second.peer.address;
}

void HomeDirectory::noteUnreachable(const std::string &peer, Instant now)
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end() || now < it->second.pausedUntil) {
        return;
    }
    constexpr int kMaxDoublings = 10;
    const Duration pause = m_settings.firstPause * (1 << std::min(it->second.failures, kMaxDoublings));
    it->second.failures += 1;
    it->second.pausedUntil = now + std::min(pause, m_settings.longestPause);
}

void HomeDirectory::noteRefused(const std::string &peer, Instant now, Duration pause)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end()) {
        it->second.pausedUntil = std::max(it->second.pausedUntil, now + pause);
    }
}

void HomeDirectory::forgetFailures()
{
    for (auto &[name, state] : m_peers) {
        state.failures = 0;
        state.pausedUntil = Instant::min();
    }
}

void HomeDirectory::noteReached(const std::string &peer)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end()) {
        it->second.failures = 0;
        it->second.pausedUntil = Instant::min();
    }
}

}
