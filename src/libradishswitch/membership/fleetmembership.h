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

/// When an entry process counts as dead, so that the budget portions it holds may be closed.
enum class DeathRule {
    /// No heartbeat for `deadAfter`, and the platform does not list its address.
    SilentAndUnlisted,
    /// No heartbeat for `suspectAfter`, and not listed. Detects death sooner, but wrongly when the list misses an entry
    /// process that is slow.
    Unlisted,
    /// No heartbeat for `deadAfter`, regardless of the list. For platforms that keep dead instances in their list for
    /// long.
    Silent,
};

struct MembershipSettings {
    /// An entry process without a heartbeat for this long is not live: it gets no work.
    Duration suspectAfter = std::chrono::seconds(3);
    /// An entry process without a heartbeat for this long may be declared dead, by the death rule.
    Duration deadAfter = std::chrono::seconds(30);
    /// An incarnation that never sent a heartbeat to this process, and whose address is not known, counts as dead once
    /// this process has been listening for this long.
    Duration unknownDeadAfter = std::chrono::minutes(10);
    DeathRule deathRule = DeathRule::SilentAndUnlisted;
    /// Upper bound on the lag of the platform's list. For this long after an entry process restarted, a "leaving" that
    /// the list already showed before the restart is ignored.
    Duration listLag = std::chrono::seconds(10);
};

/// The entry processes of the fleet, from their heartbeats, the absence of heartbeats, and the platform's list.
///
/// No guarantee depends on this class: two processes may see different members at the same time. It only decides which
/// process is asked first and which one does the work.
class FleetMembership
{
public:
    /// `now` is when this process began to listen for heartbeats.
    FleetMembership(TaskQueue &tasks, Instant now, MembershipSettings settings = {});

    /// Applies a heartbeat; this process's own heartbeats are applied, too. Returns false when the heartbeat is ignored
    /// because its sequence number is not newer than the last one, or because a later incarnation was heard at its
    /// address.
    bool applyHeartbeat(const EntryMember &member, Instant now);

    /// The platform lists an instance of an entry process with this address.
    void applyListed(const std::string &address, bool isLeaving, Instant now);
    void applyUnlisted(const std::string &address, Instant now);

    /// The connection to the entry process broke or timed out. It is not live until its next heartbeat.
    void markUnreachable(const IncarnationId &incarnation, Instant now);

    /// Updates which members are live after time has passed, and removes those that have long been silent. To be called
    /// several times a second.
    void updateLiveness(Instant now);

    /// The live entry processes of the region: those that send heartbeats, are reachable and not leaving. Sorted by
    /// address. An empty region returns those of all regions.
    std::vector<EntryMember> liveEntries(const std::string &region) const;

    std::size_t liveCount(const std::string &region) const;

    /// The place of an entry process among the live ones of its region, counted from zero. Nothing when it is not live.
    std::optional<std::size_t> rankOf(const IncarnationId &incarnation) const;

    /// The live entry process of the region that is the home of this shard. Nothing when the region has no live entry
    /// process.
    std::optional<EntryMember> homeOf(std::uint32_t shard, const std::string &region) const;

    /// Whether the entry process counts as dead by the death rule. If this process never heard from the incarnation,
    /// `address`, at which others knew it, tells whether its instance is listed.
    bool isDead(const IncarnationId &incarnation, Instant now, const std::string &address = {}) const;

    /// The `count` live entry processes of the zone that watch the object store on behalf of the others there.
    std::vector<EntryMember> watchersOfZone(const std::string &zone, std::size_t count) const;

    /// The endpoints to which the entry process `me` keeps control connections: all of them when there are no more than
    /// `size`, else about `size`. The live entry processes of the region together cover each endpoint equally often.
    /// When one entry process or endpoint comes or goes, few connections change.
    std::vector<EndpointId> subsetOf(const std::vector<EndpointId> &endpoints, const IncarnationId &me,
                                     std::size_t size) const;

    /// Calls `callback` through the task queue after each change of the set of live entry processes.
    void subscribe(std::function<void()> callback);

private:
    struct MemberState {
        EntryMember member;
        std::uint64_t hash = 0;
        Instant firstHeartbeatAt{};
        Instant lastHeartbeatAt{};
        /// Whether an earlier incarnation was heard at the same address.
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
    /// Marks the earlier incarnations at the member's address as superseded. Returns whether there were any.
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
