#pragma once

#include "agents/agentport.h"
#include "base/timerservice.h"

#include <set>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The agents that the platform lists now or has listed lately. Tells to which agents a run may have been sent since a
/// given time.
///
/// An entry process that dies before it has reported where it sent a run may have sent it to an agent that was removed
/// from the list since. A search among the current agents alone would not find the run, would treat it as not run, and
/// would repeat a request that had taken effect.
class AgentRoster
{
public:
    /// How long removed agents are remembered. Longer than any request stays open.
    static constexpr Duration kRetention = std::chrono::hours(24);

    AgentRoster(const AgentPort &agents, const TimerService &timers);

    /// Reads the list of agents and notes which ones were removed since the last call. To be called about once a
    /// second.
    void refresh();

    /// All agents that were listed at `moment` or later, as far as the calls of `refresh` noticed them.
    std::vector<std::string> presentSince(Instant moment) const;

private:
    struct RemovedAgent {
        std::string address;
        /// When `refresh` first found the agent missing.
        Instant noticedAt;
    };

    const AgentPort &m_agents;
    const TimerService &m_timers;
    std::set<std::string> m_present;
    std::vector<RemovedAgent> m_removed;
};

}
