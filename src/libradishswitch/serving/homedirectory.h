#pragma once

#include "base/timerservice.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace RadishSwitch
{

struct HomeDirectorySettings {
    /// A peer that could not be reached is not asked for so long, twice as long after each further failure, up to the
    /// longest. The first is short: a peer that is only busy should not lose its work to others.
    Duration firstPause = std::chrono::milliseconds(60);
    Duration longestPause = std::chrono::seconds(3);
    /// Homes and gateways named for one key, besides this gateway itself.
    std::size_t maximumHomes = 2;
    std::size_t maximumGateways = 2;
    /// Gateways with less than this part of the greatest weight in their zone watch for it only when no other can.
    double strongShare = 0.5;
};

enum class PeerKind {
    /// Serves callers, and stands in as a home.
    Gateway,
    /// Is home of budgets, and reads the store for gateways that are cut off from it. Serves no callers.
    Home,
};

/// A process of the fleet, as the others know it.
struct FleetPeer {
    /// Where the others reach it.
    std::string address;
    /// Its share of the work that one gateway does for all, relative to the others.
    double weight = 1;
    /// Its availability zone.
    std::string zone = {};
    PeerKind kind = PeerKind::Gateway;

    bool operator==(const FleetPeer &) const = default;
};

/// Those of `peers` that are gateways.
std::map<std::string, FleetPeer> gatewaysAmong(const std::map<std::string, FleetPeer> &peers);

/// Which process does what one does for all: the home of each key.
///
/// Weighted rendezvous hashing gives all gateways the same answer without a word between them, and large instances more
/// keys than small ones. Processes that are homes and nothing else go first, since gateways are restarted, overrun and
/// cut off more often. While a home can't be reached, the next one stands in, then gateways, at last each gateway for
/// itself. What is done at a home must be safe with any number of homes at a time.
class HomeDirectory
{
public:
    HomeDirectory(std::string self, HomeDirectorySettings settings = {});

    /// What the others are told of this process: until the list of all has it, it counts as this.
    void setOwnPeer(const FleetPeer &own);

    /// The processes of the fleet, by their names; this one may be among them.
    void setPeers(const std::map<std::string, FleetPeer> &peers);

    /// Whether the others were named once.
    bool arePeersKnown() const
    {
        return m_arePeersKnown;
    }

    /// This gateway is about to stop: it is the home of nothing any more, as far as there are others.
    void leave();

    /// Whom to ask for a key, in ranking: the home, then those that stand in for it. This gateway is among them, at its
    /// place.
    std::vector<std::string> candidates(std::string_view key, Instant now) const;

    /// Who watches the store for the gateways of this one's zone; this gateway itself, or one that comes before it in
    /// an ranking that all of the zone share, so that no two wait for each other.
    std::string watcher(Instant now) const;

    /// A home that can be reached, in this gateway's zone if there is one; empty when there is none. The same for all
    /// gateways of a zone.
    std::string nearestHome(Instant now) const;

    /// From now on this gateway watches the store itself.
    void watchAlone();

    /// The home of a key, whatever can be reached just now. Peers that have failed many times in a row don't count:
    /// they are gone for good.
    std::string usualHome(std::string_view key) const;

    /// The other processes that may be asked now; homes first, else in no ranking that means anything.
    std::vector<std::string> reachablePeers(Instant now) const;

    /// The address of a peer; empty when it is not known.
    std::string addressOf(const std::string &peer) const;

    void noteUnreachable(const std::string &peer, Instant now);
    void noteReached(const std::string &peer);
    /// The network is back for this gateway: what failed before says nothing any more of any peer.
    void forgetFailures();

    const std::string &self() const
    {
        return m_self;
    }

private:
    struct PeerState;
    using Rank = std::tuple<bool, double>;

    /// The first of those that may be home of a key, the nearest first: ranking all of a thousand takes a hundred
    /// times what a look at the first few does.
    struct Ranking {
        std::vector<std::string> names;
        /// Whether there are more.
        bool isTruncated = false;
    };

    /// The greater rank is nearer to being the home of a key.
    static Rank rankOf(const PeerState &state, std::uint64_t keyHash);

    const Ranking &rankingOf(std::string_view key) const;
    Ranking makeRanking(std::string_view key, std::size_t most) const;
    /// Whom to ask, of those in `ranking`; nothing when that does not have enough that may be asked.
    std::optional<std::vector<std::string>> candidatesAmong(const Ranking &ranking, Instant now) const;
    std::optional<std::string> usualHomeAmong(const Ranking &ranking) const;

    struct PeerState {
        FleetPeer peer;
        std::uint64_t hash = 0;
        int failures = 0;
        Instant pausedUntil = Instant::min();
    };

    double greatestWeight(const std::string &zone) const;

    const std::string m_self;
    FleetPeer m_own;
    bool m_arePeersKnown = false;
    bool m_isLeaving = false;
    bool m_watchesAlone = false;
    const HomeDirectorySettings m_settings;
    absl::flat_hash_map<std::string, PeerState> m_peers;
    mutable absl::flat_hash_map<std::string, Ranking> m_rankings;
};

}
