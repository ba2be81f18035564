#pragma once

#include "agents/agentport.h"
#include "base/timerservice.h"

#include <set>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The agents that the platform lists, with those that it listed lately, to know where a run may have been sent
/// presentSince some moment.
///
/// An entry that dies before it told where it sent a run may have sent it to an agent that has gone since. Who
/// looks only at the agents of today finds the run nowhere, takes it as not run and repeats an order that was placed.
class AgentRoster
{
public:
    /// How long the gone are remembered: longer than any request stays open.
    static constexpr Duration kRetention = std::chrono::hours(24);

    AgentRoster(const AgentPort &agents, const TimerService &timers);

    /// Compares the present agents with those of the last time. To be called every second or so.
    void refresh();

    /// All agents that were there at this moment or later, as far as it was noticed.
    std::vector<std::string> presentSince(Instant moment) const;

private:
    struct RemovedAgent {
        std::string address;
        Instant noticedAt;
    };

    const AgentPort &m_agents;
    const TimerService &m_timers;
    std::set<std::string> m_present;
    std::vector<RemovedAgent> m_removed;
};

}
