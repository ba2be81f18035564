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
    std::erase_if(m_removed, [now](const RemovedAgent &gone) {
        return now - gone.noticedAt > kRetention;
    });
    for (const std::string &address : earlier) {
        if (!m_present.contains(address)) {
            m_removed.push_back({address, now});
        }
    }
}

std::vector<std::string> AgentRoster::presentSince(Instant moment) const
{
    std::vector<std::string> addresses(m_present.begin(), m_present.end());
    for (const RemovedAgent &gone : m_removed) {
        if (gone.noticedAt >= moment && !m_present.contains(gone.address)) {
            addresses.push_back(gone.address);
        }
    }
    return addresses;
}

}
