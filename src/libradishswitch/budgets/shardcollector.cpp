#include "budgets/shardcollector.h"

#include "base/failure.h"

#include <algorithm>
#include <set>
#include <utility>

namespace RadishSwitch
{

ShardCollector::ShardCollector(AgentPort &agents, TimerService &timers, RandomSource &random, std::uint32_t shard,
                               std::uint64_t epoch, ShardCollectorSettings settings, Events events)
    : m_agentPort(agents)
    , m_timers(timers)
    , m_random(random)
    , m_shard(shard)
    , m_epoch(epoch)
    , m_settings(settings)
    , m_events(std::move(events))
{
    m_holdTimer = m_timers.after(m_settings.holdLimit, m_life.guard([this] {
        m_isReleased = true;
        m_events.changed();
    }));
    refresh();
}

ShardCollector::~ShardCollector()
{
    m_timers.cancel(m_holdTimer);
    for (const auto &[address, agent] : m_agents) {
        m_timers.cancel(agent.retryTimer);
    }
}

void ShardCollector::refresh()
{
    const std::vector<std::string> addresses = m_agentPort.agentAddresses();
    const std::set<std::string> present(addresses.begin(), addresses.end());
    const std::size_t erased = std::erase_if(m_agents, [&](const auto &item) {
        if (present.contains(item.first)) {
            return false;
        }
        m_timers.cancel(item.second.retryTimer);
        m_open -= isOpen(item.second.state) ? 1 : 0;
        return true;
    });
    for (const std::string &address : present) {
        if (!m_agents.contains(address)) {
            m_agents.emplace(address,
                             Agent{AgentState::Queried, Backoff(m_settings.firstBackoff, m_settings.lastBackoff)});
            ++m_open;
            query(address);
        }
    }
    if (erased > 0) {
        m_events.changed();
    }
}

bool ShardCollector::isHoldingRequests() const
{
    if (m_isReleased) {
        return false;
    }
    return m_agents.empty() || std::any_of(m_agents.begin(), m_agents.end(), [this](const auto &item) {
               return item.second.state == AgentState::Queried && !m_agentPort.isGone(item.first);
           });
}

bool ShardCollector::isComplete() const
{
    // With no known agent the list of agents has not arrived yet, so the collection is not complete.
    return m_open == 0 && !m_agents.empty();
}

bool ShardCollector::isOpen(AgentState state)
{
    return state == AgentState::Queried || state == AgentState::Unreachable;
}

void ShardCollector::setState(Agent &agent, AgentState state)
{
    m_open -= isOpen(agent.state) ? 1 : 0;
    agent.state = state;
    m_open += isOpen(agent.state) ? 1 : 0;
}

void ShardCollector::query(const std::string &address)
{
    m_agentPort.findRuns(address, {}, m_shard, m_epoch, m_life.guard([this, address](const auto &runs) {
        handleRuns(address, runs);
    }));
}

void ShardCollector::handleRuns(const std::string &address, const absl::StatusOr<std::vector<RunRecord>> &runs)
{
    const auto it = m_agents.find(address);
    if (it == m_agents.end()) {
        return;
    }
    if (!runs.ok()) {
        retryLater(address, it->second);
        if (failureCode(runs.status()) == FailureCode::StaleEpoch) {
            return m_events.deposed();
        }
        return m_events.changed();
    }
    setState(it->second, AgentState::Answered);
    for (RunRecord record : *runs) {
        record.agentAddress = address;
        m_events.found(record);
    }
    if (!isHoldingRequests()) {
        m_isReleased = true;
    }
    m_events.changed();
}

void ShardCollector::retryLater(const std::string &address, Agent &agent)
{
    setState(agent, m_agentPort.isGone(address) ? AgentState::Dead : AgentState::Unreachable);
    agent.retryTimer = m_timers.after(agent.backoff.next(m_random), m_life.guard([this, address] {
        const auto it = m_agents.find(address);
        if (it != m_agents.end()) {
            it->second.retryTimer = 0;
            query(address);
        }
    }));
}

}
