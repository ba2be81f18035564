#pragma once

#include "homedirectory.h"
#include "homeservice.h"
#include "membership/entrydirectory.h"
#include "membership/fleetmembership.h"
#include "monitor.h"

#include <absl/container/flat_hash_map.h>

#include <mutex>

namespace RadishSwitch
{

/// Homes among the fleet's entries. A request without a key goes to the home of its budget in this region; one with a
/// key to the owner of its key shard, wherever that is.
class FleetHomeDirectory : public HomeDirectory
{
public:
    FleetHomeDirectory(HomeService &local, MessageClients &clients, TimerService &timers, FleetMembership &membership,
                       Monitor &membershipMonitor, std::string selfAddress, std::string region);

    std::unique_ptr<HomeSession> open(const RunPlan &plan, int tries) override;

private:
    std::string addressFor(const RunPlan &plan, std::uint32_t shard, int tries);
    std::string rendezvousHome(std::uint32_t shard, const std::string &region);
    void learnOwner(std::uint32_t shard, const std::string &address);

    HomeService &m_local;
    MessageClients &m_clients;
    TimerService &m_timers;
    FleetMembership &m_membership;
    Monitor &m_membershipMonitor;
    const std::string m_selfAddress;
    const std::string m_region;
    std::mutex m_mutex;
    absl::flat_hash_map<std::uint32_t, std::string> m_owners;
};

/// The entries' liveness as the home's decisions ask for it.
class MembershipEntryDirectory : public EntryDirectory
{
public:
    MembershipEntryDirectory(FleetMembership &membership, Monitor &monitor, TimerService &timers);

    EntryLiveness livenessOf(const IncarnationId &incarnation, const std::string &region,
                             const std::string &address) const override;

private:
    FleetMembership &m_membership;
    Monitor &m_monitor;
    TimerService &m_timers;
};

}
