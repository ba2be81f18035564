#pragma once

#include "agents/agentport.h"
#include "budgets/budgetholder.h"
#include "budgets/holderreservations.h"
#include "budgets/ledger.h"
#include "budgets/portioncloser.h"
#include "budgets/portionsweep.h"
#include "membership/entrydirectory.h"
#include "monitor.h"
#include "requests/home.h"

#include <functional>

namespace RadishSwitch
{

/// What makes an entry a home: the ledger, the holder of portions, the requests, the closing of what the dead left.
/// One shared table under one lock.
class HomeStack
{
public:
    struct Ports {
        ObjectStore &store;
        TimerService &timers;
        TaskQueue &tasks;
        RandomSource &random;
        AgentPort &agents;
        const EntryDirectory &entries;
        const HolderDirectory &holders;
    };

    HomeStack(const Ports &ports, const KeyOwner &self, std::uint32_t shardCount);

    void start();

    Monitor &monitor();
    Home &home();

    /// The fleet's members have changed.
    void noteMembershipChange();

    /// An agent is new or was lost: the portions must be confirmed anew before new agents may run on them.
    void noteAgentChange();

    /// Planned stop: hands over key shards and returns portions, then calls back.
    void stop(std::function<void()> callback);

    /// What is open here, for status pages.
    struct Holdings {
        std::size_t openRequests = 0;
        std::size_t openReservations = 0;

        bool operator==(const Holdings &) const = default;
    };

    Holdings holdings();

private:
    static BudgetHolderSettings holderSettings(const KeyOwner &self);
    static LedgerSettings ledgerSettings(std::uint32_t shardCount);
    static HomeSettings homeSettings(std::uint32_t shardCount);

    Monitor m_monitor;
    MonitoredObjectStore m_store;
    MonitoredTimerService m_timers;
    MonitoredTaskQueue m_tasks;
    MonitoredAgentPort m_agents;
    Ledger m_ledger;
    BudgetHolder m_holder;
    HolderReservations m_reservations;
    Home m_home;
    PortionCloser m_closer;
    PortionSweep m_sweep;
};

}
