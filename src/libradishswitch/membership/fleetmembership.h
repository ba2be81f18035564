#pragma once

#include "base/identifier.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"
#include "membership/entrymember.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// What it takes to hold an entry for dead, so that its portions may be closed.
enum class DeathRule {
    /// Silent for `deadAfter`, and the platform does not list its address.
    SilentAndUnlisted,
    /// Unlisted and silent for `suspectAfter`: sooner, and wrong when the list misses an entry that is slow.
    Unlisted,
    /// Silent for `deadAfter`, whatever the list says: for platforms whose list keeps the dead for long.
    Silent,
};

struct MembershipSettings {
    Duration suspectAfter = std::chrono::seconds(3);
    Duration deadAfter = std::chrono::seconds(30);
    /// An incarnation that was never heard of is held for dead after this process has listened for as long.
    Duration unknownDeadAfter = std::chrono::minutes(10);
    DeathRule deathRule = DeathRule::SilentAndUnlisted;
    /// How far the platform's list may lag: for as long after a restart, a "leaving" from before it is not believed.
    Duration listLag = std::chrono::seconds(10);
};

/// The entries of the fleet, from their heartbeats, their silence and the platform's list.
///
/// Nothing that must hold rests on it: two processes may see different members at the same moment. It decides who is
/// asked first, and who does the work.
class FleetMembership
{
public:
    /// `now` is when this process began to listen.
    FleetMembership(TaskQueue &tasks, Instant now, MembershipSettings settings = {});

    /// Takes in a heartbeat, this process's own included. False when it was ignored: an old sequence number, or an
    /// incarnation whose address has a later one.
    bool applyHeartbeat(const EntryMember &member, Instant now);

    /// The platform lists an entry instance of this address.
    void applyListed(const std::string &address, bool isLeaving, Instant now);
    void applyUnlisted(const std::string &address, Instant now);

    /// The connection to the entry broke or went silent. Holds until its next heartbeat.
    void markUnreachable(const IncarnationId &incarnation, Instant now);

    /// Finds members that have become silent. Call it several times a second.
    void updateLiveness(Instant now);

    /// The entries that are heard from and not leaving, in the order of their addresses. An empty region gives all.
    std::vector<EntryMember> liveEntries(const std::string &region) const;

    std::size_t liveCount(const std::string &region) const;

    /// The place of an entry among the live ones of its region, from zero; nothing when it is not live.
    std::optional<std::size_t> rankOf(const IncarnationId &incarnation) const;

    /// The live entry of the region that has this shard; nothing when none lives there.
    std::optional<EntryMember> homeOf(std::uint32_t shard, const std::string &region) const;

    /// Whether the entry is held for dead, by the death rule. For one that this process has never heard of, the address
    /// that it was known by tells whether its instance is listed.
    bool isDead(const IncarnationId &incarnation, Instant now, const std::string &address = {}) const;

    /// The `count` live entries of the zone that watch the store for the others.
    std::vector<EntryMember> watchersOfZone(const std::string &zone, std::size_t count) const;

    /// The endpoints with which the entry `me` keeps control connections: all of them if `size` says so, else about
    /// `size`, such that all live entries of the region together cover each endpoint equally often. A change of one
    /// entry or endpoint moves few.
    std::vector<EndpointId> subsetOf(const std::vector<EndpointId> &endpoints, const IncarnationId &me,
                                     std::size_t size) const;

    /// Calls `callback` through the task queue after each change of the live entries.
    void subscribe(std::function<void()> callback);

private:
    struct MemberState {
        EntryMember member;
        std::uint64_t hash = 0;
        Instant firstHeartbeatAt{};
        Instant lastHeartbeatAt{};
        /// Whether an earlier incarnation was heard at its address.
        bool isRestart = false;
        bool isUnreachable = false;
        bool isSuperseded = false;
        bool isLive = false;
    };

    struct Listing {
        bool isLeaving = false;
        Instant leavingSince{};
    };

    struct LiveEntry {
        std::uint64_t hash = 0;
        const MemberState *state = nullptr;
    };

    bool isConsideredLive(const MemberState &state, Instant now) const;
    /// Gives whether there were any.
    bool supersedeEarlier(const EntryMember &member);
    bool isListedAsLeaving(const MemberState &state, Instant now) const;
    void refresh(Instant now);
    void rebuild();
    const std::vector<LiveEntry> &liveOf(const std::string &region) const;

    TaskQueue &m_tasks;
    const MembershipSettings m_settings;
    const Instant m_listeningSince;
    absl::flat_hash_map<IncarnationId, std::unique_ptr<MemberState>> m_members;
    absl::flat_hash_map<std::string, Listing> m_listings;
    absl::flat_hash_map<std::string, std::vector<LiveEntry>> m_live;
    std::vector<std::function<void()>> m_subscribers;
};

}
