#include "homestack.h"

namespace RadishSwitch
{

HomeStack::HomeStack(const Ports &ports, const KeyOwner &self, std::uint32_t shardCount)
    : m_store(ports.store, m_monitor)
    , m_timers(ports.timers, m_monitor)
    , m_tasks(ports.tasks, m_monitor)
    , m_agents(ports.agents, m_monitor)
    , m_ledger(m_store, m_timers, ports.random, ledgerSettings(shardCount))
    , m_holder(m_ledger, m_timers, m_tasks, ports.random, holderSettings(self))
    , m_reservations(m_holder)
    , m_home(HomePorts{m_timers, m_tasks, ports.random, m_store, m_agents, m_reservations, ports.entries}, self,
             homeSettings(shardCount))
    , m_closer(m_ledger, m_agents, m_timers, m_tasks, ports.random, PortionCloserSettings{})
    , m_sweep(m_ledger, m_closer, ports.holders, m_timers, ports.random)
{
}

void HomeStack::start()
{
    m_monitor.run([this] {
        m_sweep.start();
    });
}

Monitor &HomeStack::monitor()
{
    return m_monitor;
}

Home &HomeStack::home()
{
    return m_home;
}

void HomeStack::noteMembershipChange()
{
    m_monitor.run([this] {
        m_sweep.noteMembershipChange();
    });
}

void HomeStack::noteAgentChange()
{
    m_monitor.run([this] {
        m_holder.replacePortions();
    });
}

// The home first: once it has stopped, every reservation has been settled or released, and the portions can go back
// with their spending told.
void HomeStack::stop(std::function<void()> callback)
{
    m_monitor.run([&] {
        m_home.stop([this, callback = std::move(callback)] {
            m_holder.stop(callback);
        });
    });
}

HomeStack::Holdings HomeStack::holdings()
{
    return m_monitor.run([this] {
        return Holdings{m_home.openRequests(), m_holder.openReservationCount()};
    });
}

BudgetHolderSettings HomeStack::holderSettings(const KeyOwner &self)
{
    BudgetHolderSettings settings;
    settings.incarnation = self.incarnation;
    settings.region = self.region;
    return settings;
}

LedgerSettings HomeStack::ledgerSettings(std::uint32_t shardCount)
{
    LedgerSettings settings;
    settings.shardCount = shardCount;
    return settings;
}

HomeSettings HomeStack::homeSettings(std::uint32_t shardCount)
{
    HomeSettings settings;
    settings.ownership.shardCount = shardCount;
    return settings;
}

}
