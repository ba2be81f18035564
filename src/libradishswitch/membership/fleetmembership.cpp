#include "membership/fleetmembership.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace RadishSwitch
{

namespace
{

// Key in `m_live` under which the live entry processes of all regions are stored.
const std::string kAllRegions;

}

FleetMembership::FleetMembership(TaskQueue &tasks, Instant now, MembershipSettings settings)
    : m_tasks(tasks)
    , m_settings(settings)
    , m_listeningSince(now)
{
}

bool FleetMembership::applyHeartbeat(const EntryMember &member, Instant now)
{
    std::unique_ptr<MemberState> &state = m_members[member.incarnation];
    const bool isNew = state == nullptr;
    if (isNew) {
        state = std::make_unique<MemberState>();
        state->hash = rendezvousHash(member.incarnation.value());
    } else if (state->isSuperseded || member.sequence <= state->member.sequence) {
        return false;
    }
    state->member = member;
    state->lastHeartbeatAt = now;
    state->isUnreachable = false;
    if (isNew) {
        state->firstHeartbeatAt = now;
        state->isRestart = supersedeEarlier(member);
    }
    if (isNew || state->isLive != isConsideredLive(*state, now)) {
        refresh(now);
    }
    return true;
}

void FleetMembership::applyListed(const std::string &address, bool isLeaving, Instant now)
{
    Listing &listing = m_listings[address];
    if (isLeaving && !listing.isLeaving) {
        listing.leavingSince = now;
    }
    listing.isLeaving = isLeaving;
    refresh(now);
}

void FleetMembership::applyUnlisted(const std::string &address, Instant now)
{
    m_listings.erase(address);
    refresh(now);
}

void FleetMembership::markUnreachable(const IncarnationId &incarnation, Instant now)
{
    const auto it = m_members.find(incarnation);
    if (it != m_members.end()) {
        it->second->isUnreachable = true;
        refresh(now);
    }
}

void FleetMembership::updateLiveness(Instant now)
{
    absl::erase_if(m_members, [&](const auto &entry) {
        return !entry.second->isLive && now - entry.second->lastHeartbeatAt >= m_settings.unknownDeadAfter;
    });
    refresh(now);
}

std::vector<EntryMember> FleetMembership::liveEntries(const std::string &region) const
{
    std::vector<EntryMember> members;
    for (const LiveEntry &entry : liveOf(region)) {
        members.push_back(entry.state->member);
    }
    return members;
}

std::size_t FleetMembership::liveCount(const std::string &region) const
{
    return liveOf(region).size();
}

std::optional<std::size_t> FleetMembership::rankOf(const IncarnationId &incarnation) const
{
    const auto it = m_members.find(incarnation);
    if (it == m_members.end() || !it->second->isLive) {
        return std::nullopt;
    }
    const std::vector<LiveEntry> &live = liveOf(it->second->member.region);
    const auto place = std::ranges::find(live, it->second.get(), &LiveEntry::state);
    return static_cast<std::size_t>(place - live.begin());
}

std::optional<EntryMember> FleetMembership::homeOf(std::uint32_t shard, const std::string &region) const
{
    const std::vector<LiveEntry> &live = liveOf(region);
    const auto best = std::ranges::max_element(live, {}, [shard](const LiveEntry &entry) {
        return rendezvousScore(entry.hash, shard);
    });
    return best == live.end() ? std::nullopt : std::optional<EntryMember>(best->state->member);
}

bool FleetMembership::isDead(const IncarnationId &incarnation, Instant now, const std::string &address) const
{
    const auto it = m_members.find(incarnation);
    const bool isKnown = it != m_members.end();
    if (isKnown && it->second->isSuperseded) {
        return now - it->second->lastHeartbeatAt >= m_settings.suspectAfter;
    }
    const std::string &place = isKnown ? it->second->member.address : address;
    const bool isListed = m_listings.contains(place);
    if (!isKnown && place.empty()) {
        return now - m_listeningSince >= m_settings.unknownDeadAfter;
    }
    const Duration silence = now - (isKnown ? it->second->lastHeartbeatAt : m_listeningSince);
    switch (m_settings.deathRule) {
    case DeathRule::SilentAndUnlisted:
        return silence >= m_settings.deadAfter && !isListed;
    case DeathRule::Unlisted:
        return silence >= m_settings.suspectAfter && !isListed;
    case DeathRule::Silent:
        return silence >= m_settings.deadAfter;
    }
    return false;
}

std::vector<EntryMember> FleetMembership::watchersOfZone(const std::string &zone, std::size_t count) const
{
    const std::uint64_t key = rendezvousHash(zone);
    std::vector<LiveEntry> entries;
    std::ranges::copy_if(liveOf(kAllRegions), std::back_inserter(entries), [&](const LiveEntry &entry) {
        return entry.state->member.zone == zone;
    });
    std::ranges::sort(entries, std::greater<>(), [key](const LiveEntry &entry) {
        return rendezvousScore(entry.hash, key);
    });
    entries.resize(std::min(count, entries.size()));
    std::vector<EntryMember> members;
    for (const LiveEntry &entry : entries) {
        members.push_back(entry.state->member);
    }
    return members;
}

std::vector<EndpointId> FleetMembership::subsetOf(const std::vector<EndpointId> &endpoints, const IncarnationId &me,
                                                  std::size_t size) const
{
    const auto self = m_members.find(me);
    if (size >= endpoints.size() || self == m_members.end()) {
        return endpoints;
    }
    const std::vector<LiveEntry> &live = liveOf(self->second->member.region);
    // For each endpoint, the `coverage` entry processes with the highest scores are selected, so that all endpoints are
    // covered by the same number of them.
    const std::size_t coverage = (size * live.size() + endpoints.size() - 1) / endpoints.size();
    std::vector<EndpointId> subset;
    for (const EndpointId &endpoint : endpoints) {
        const std::uint64_t key = rendezvousHash(endpoint.value());
        const std::uint64_t own = rendezvousScore(self->second->hash, key);
        const auto before = std::ranges::count_if(live, [&](const LiveEntry &entry) {
            return rendezvousScore(entry.hash, key) > own;
        });
        if (static_cast<std::size_t>(before) < coverage) {
            subset.push_back(endpoint);
        }
    }
    return subset;
}

void FleetMembership::subscribe(std::function<void()> callback)
{
    m_subscribers.push_back(std::move(callback));
}

bool FleetMembership::isConsideredLive(const MemberState &state, Instant now) const
{
    if (state.isUnreachable || state.isSuperseded || state.member.isLeaving) {
        return false;
    }
    return !isListedAsLeaving(state, now) && now - state.lastHeartbeatAt < m_settings.suspectAfter;
}

bool FleetMembership::isListedAsLeaving(const MemberState &state, Instant now) const
{
    const auto it = m_listings.find(state.member.address);
    if (it == m_listings.end() || !it->second.isLeaving) {
        return false;
    }
    // After a restart at the same address, a list that lags still shows that the earlier incarnation was leaving.
    const bool isStaleLeaving = state.isRestart && it->second.leavingSince <= state.firstHeartbeatAt;
    return !isStaleLeaving || now - state.firstHeartbeatAt >= m_settings.listLag;
}

bool FleetMembership::supersedeEarlier(const EntryMember &member)
{
    // Two processes cannot listen at the same address, so a new incarnation there proves that the earlier one has
    // ended.
    bool hasSuperseded = false;
    for (auto &[incarnation, state] : m_members) {
        if (incarnation != member.incarnation && state->member.address == member.address) {
            state->isSuperseded = true;
            hasSuperseded = true;
        }
    }
    return hasSuperseded;
}

void FleetMembership::refresh(Instant now)
{
    bool isChanged = false;
    for (auto &[incarnation, state] : m_members) {
        const bool isLive = isConsideredLive(*state, now);
        isChanged = isChanged || isLive != state->isLive;
        state->isLive = isLive;
    }
    if (!isChanged) {
        return;
    }
    rebuild();
    for (const std::function<void()> &subscriber : m_subscribers) {
        m_tasks.post(subscriber);
    }
}

void FleetMembership::rebuild()
{
    m_live.clear();
    for (const auto &[incarnation, state] : m_members) {
        if (state->isLive) {
            m_live[state->member.region].push_back({state->hash, state.get()});
            m_live[kAllRegions].push_back({state->hash, state.get()});
        }
    }
    for (auto &[region, entries] : m_live) {
        std::ranges::sort(entries, {}, [](const LiveEntry &entry) -> const std::string & {
            return entry.state->member.address;
        });
    }
}

const std::vector<FleetMembership::LiveEntry> &FleetMembership::liveOf(const std::string &region) const
{
    static const std::vector<LiveEntry> kNoEntries;
    const auto it = m_live.find(region);
    return it == m_live.end() ? kNoEntries : it->second;
}

}
