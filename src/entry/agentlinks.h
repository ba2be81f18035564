#pragma once

#include "dispatchgate.h"
#include "http2transport.h"
#include "listedinstances.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace RadishSwitch
{

/// Keeps a heartbeat stream open to each agent that this entry works with, and passes on what it hears.
class AgentLinks
{
public:
    AgentLinks(MessageClients &clients, TimerService &timers, DispatchGate &gate);
    ~AgentLinks();

    /// The agents in the platform's list; links to others are kept while they are heard.
    void setListed(const std::vector<PlatformInstance> &instances);

    /// The agents to keep links with, of those listed. Everything until it is first called.
    void setSubset(std::set<EndpointId> subset);

private:
    class Link;

    void refresh();

    MessageClients &m_clients;
    TimerService &m_timers;
    DispatchGate &m_gate;
    std::mutex m_mutex;
    std::vector<PlatformInstance> m_listed;
    std::optional<std::set<EndpointId>> m_subset;
    std::map<std::string, std::shared_ptr<Link>> m_links;
};

/// What a heartbeat says, as the directory takes it.
EndpointReport reportFromWire(const wire::AgentHeartbeat &message);

}
