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
    /// How long a peer is not asked after it could not be reached. Doubles with each further failure up to
    /// `longestPause`. The first pause is short so that a peer that is only busy does not lose its work to others.
    Duration firstPause = std::chrono::milliseconds(60);
    Duration longestPause = std::chrono::seconds(3);
    /// Maximum number of homes and of gateways among the candidates for one key, not counting this gateway.
    std::size_t maximumHomes = 2;
    std::size_t maximumGateways = 2;
    /// Gateways with less than this share of the greatest weight in their zone become its watcher only if no other
    /// gateway can.
    double strongShare = 0.5;
};

enum class PeerKind {
    /// Serves callers, and stands in as a home.
    Gateway,
    /// Is home of budgets, and reads the store for gateways that can't reach it. Serves no callers.
    Home,
};

/// A process of the fleet, as listed for the other processes.
struct FleetPeer {
    /// Address at which other processes reach it.
    std::string address;
    /// Its share of the work done at homes and watchers, relative to the other processes.
    double weight = 1;
    /// Its availability zone.
    std::string zone = {};
    PeerKind kind = PeerKind::Gateway;

    bool operator==(const FleetPeer &) const = default;
};

/// Returns those of `peers` that are gateways.
std::map<std::string, FleetPeer> gatewaysAmong(const std::map<std::string, FleetPeer> &peers);

/// Determines the home of each key: the process that does for the whole fleet what only one process should do.
///
/// With weighted rendezvous hashing all gateways find the same home without exchanging messages, and large instances
/// get more keys than small ones. Processes of the kind Home come first, since gateways are restarted, overloaded and
/// cut off from the network more often. While a home can't be reached, the next one stands in for it, then other
/// gateways, and finally each gateway works for itself. Work done at a home must therefore be safe with any number of
/// homes at a time.
class HomeDirectory
{
public:
    HomeDirectory(std::string self, HomeDirectorySettings settings = {});

    /// Sets what the other processes are told of this one. Used until the list of all processes contains this one.
    void setOwnPeer(const FleetPeer &own);

    /// Sets the processes of the fleet by their names; this one may be among them.
    void setPeers(const std::map<std::string, FleetPeer> &peers);

    /// Whether `setPeers` has been called.
    bool arePeersKnown() const
    {
        return m_arePeersKnown;
    }

    /// Called when this gateway is about to stop: from then on it is the home of no key, unless there are no other
    /// processes.
    void leave();

    /// The processes to ask for a key, in this order: its home, then those that stand in for it. This gateway has its
    /// place among them.
    std::vector<std::string> candidates(std::string_view key, Instant now) const;

    /// The processes that rank first for a key, at most so many homes and so many gateways, whether or not they can be
    /// reached. All processes that know the same list return the same names; this process may be among them.
    std::vector<std::string> ranked(std::string_view key, std::size_t maximumHomes, std::size_t maximumGateways) const;

    /// Whether a process may be asked now: it is known, and does not pause after a failure.
    bool mayBeAsked(const std::string &peer, Instant now) const;

    /// The gateway that watches the store for this gateway's zone, or this gateway itself. All gateways of a zone rank
    /// the watchers in the same order, so that no two wait for each other.
    std::string watcher(Instant now) const;

    /// A reachable home, in this gateway's zone if there is one there; empty if no home is reachable. All gateways of a
    /// zone get the same home.
    std::string nearestHome(Instant now) const;

    /// The same for any zone, so that processes of different zones choose the same home for it.
    std::string nearestHome(const std::string &zone, Instant now) const;

    /// Makes this gateway its own watcher from now on.
    void watchAlone();

    /// The home of a key, regardless of whether it can be reached at the moment. Peers that failed many times in a row
    /// don't count, since they are most likely gone for good.
    std::string usualHome(std::string_view key) const;

    /// The other processes that may be asked now: homes first, otherwise in no particular order.
    std::vector<std::string> reachablePeers(Instant now) const;

    /// The address of a peer; empty if the peer is not known.
    std::string addressOf(const std::string &peer) const;

    void noteUnreachable(const std::string &peer, Instant now);
    /// Called when a peer answers that it does not do what it was asked for, as processes of an older version do. It is
    /// not asked for `pause`.
    void noteRefused(const std::string &peer, Instant now, Duration pause);
    void noteReached(const std::string &peer);
    /// Called when this gateway's network works again: earlier failures then say nothing about the peers.
    void forgetFailures();

    const std::string &self() const
    {
        return m_self;
    }

private:
    struct PeerState;
    using Rank = std::tuple<bool, double>;

    /// The best-ranked processes for a key. Ranking all processes of a fleet of a thousand takes a hundred times as
    /// long as looking at the first few.
    struct Ranking {
        std::vector<std::string> names;
        /// Whether processes were left out.
        bool isTruncated = false;
    };

    /// The process with the greatest rank is the home of the key.
    static Rank rankOf(const PeerState &state, std::uint64_t keyHash);

    const Ranking &rankingOf(std::string_view key) const;
    Ranking makeRanking(std::string_view key, std::size_t maximumPerKind) const;
    /// The candidates among the processes of `ranking`; nothing if too few of them may be asked.
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
