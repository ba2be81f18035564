#include "agents/agentroster.h"

#include <utility>

namespace RadishSwitch
{

AgentRoster::AgentRoster(const AgentPort &agents, const TimerService &timers)
    : m_agents(agents)
    , m_timers(timers)
{
    refresh();
}

void AgentRoster::refresh()
{
    const std::set<std::string> earlier = std::exchange(m_present, {});
    for (const std::string &address : m_agents.agentAddresses()) {
        if (!m_agents.isGone(address)) {
            m_present.insert(address);
        }
    }
    const Instant now = m_timers.now();
    std::erase_if(m_gone, [now](const Gone &gone) {
        return now - gone.noticed > kMemory;
    });
    for (const std::string &address : earlier) {
        if (!m_present.contains(address)) {
            m_gone.push_back({address, now});
        }
    }
}

std::vector<std::string> AgentRoster::since(Instant moment) const
{
    std::vector<std::string> addresses(m_present.begin(), m_present.end());
    for (const Gone &gone : m_gone) {
        if (gone.noticed >= moment && !m_present.contains(gone.address)) {
            addresses.push_back(gone.address);
        }
    }
    return addresses;
}

}
