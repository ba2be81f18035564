#include "fleethomedirectory.h"

#include "remotehomesession.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

FleetHomeDirectory::FleetHomeDirectory(HomeService &local, MessageClients &clients, TimerService &timers,
                                       FleetMembership &membership, Monitor &membershipMonitor, std::string selfAddress,
                                       std::string region)
    : m_local(local)
    , m_clients(clients)
    , m_timers(timers)
    , m_membership(membership)
    , m_membershipMonitor(membershipMonitor)
    , m_selfAddress(std::move(selfAddress))
    , m_region(std::move(region))
{
}

std::unique_ptr<HomeSession> FleetHomeDirectory::open(const RunPlan &plan, int tries)
{
    const std::uint32_t shard = m_local.shardOf(plan.budget);
    const std::string address = addressFor(plan, shard, tries);
    if (address.empty() || address == m_selfAddress) {
        return m_local.openLocal();
    }
    return std::make_unique<RemoteHomeSession>(m_clients.client(address), m_timers,
                                               [this, shard](const std::string &owner) {
                                                   learnOwner(shard, owner);
                                               });
}

// The last try is at this process itself, which can always be reached: it takes a portion of its own, and for a keyed
// request it becomes the shard's owner if the present one is dead, or says that nobody can tell.
std::string FleetHomeDirectory::addressFor(const RunPlan &plan, std::uint32_t shard, int tries)
{
    constexpr int kTriesElsewhere = 2;
    if (tries >= kTriesElsewhere) {
        return m_selfAddress;
    }
    if (!plan.isKeyed) {
        return tries == 0 ? rendezvousHome(shard, m_region) : m_selfAddress;
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_owners.find(shard);
        if (it != m_owners.end()) {
            const std::string owner = it->second;
            // Asked anew after a try that failed there.
            if (tries > 0) {
                m_owners.erase(it);
            }
            return owner;
        }
    }
    const std::string owner = m_local.ownerAddress(plan.budget);
    return tries == 0 && !owner.empty() ? owner : rendezvousHome(shard, std::string());
}

std::string FleetHomeDirectory::rendezvousHome(std::uint32_t shard, const std::string &region)
{
    const std::optional<EntryMember> home = m_membershipMonitor.run([&] {
        return m_membership.homeOf(shard, region);
    });
    return home ? home->address : std::string();
}

void FleetHomeDirectory::learnOwner(std::uint32_t shard, const std::string &address)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_owners[shard] = address;
}

MembershipEntryDirectory::MembershipEntryDirectory(FleetMembership &membership, Monitor &monitor, TimerService &timers)
    : m_membership(membership)
    , m_monitor(monitor)
    , m_timers(timers)
{
}

// A dead entry is told from one behind a partition by its neighbours: when nothing of its region is heard, it is the
// region that is cut off, and its entries may well be serving callers there. A later life at the same address is proof:
// two processes cannot listen there at once.
EntryLiveness MembershipEntryDirectory::livenessOf(const IncarnationId &incarnation, const std::string &region,
                                                   const std::string &address) const
{
    return m_monitor.run([&] {
        const std::vector<EntryMember> live = m_membership.liveEntries(region);
        for (const EntryMember &member : live) {
            if (member.incarnation == incarnation) {
                return EntryLiveness::Alive;
            }
        }
        const bool isSucceeded = std::any_of(live.begin(), live.end(), [&address](const EntryMember &member) {
            return member.address == address;
        });
        if (isSucceeded) {
            return EntryLiveness::Dead;
        }
        const bool isDead = m_membership.isDead(incarnation, m_timers.now(), address);
        return isDead && !live.empty() ? EntryLiveness::Dead : EntryLiveness::Unreachable;
    });
}

}
