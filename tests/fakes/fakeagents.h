#pragma once

#include "agents/agentport.h"
#include "base/failure.h"
#include "base/taskqueue.h"

#include <map>
#include <set>
#include <utility>

/// Agents in memory, which run requests, charge them and close portions. Each agent can become silent, or restart and
/// so forget older charges.
class FakeAgents : public RadishSwitch::AgentPort
{
public:
    using PortionId = RadishSwitch::PortionId;
    using RequestId = RadishSwitch::RequestId;
    using PortionCharges = RadishSwitch::PortionCharges;
    using RunRecord = RadishSwitch::RunRecord;

    explicit FakeAgents(RadishSwitch::TaskQueue &tasks)
        : m_tasks(tasks)
    {
    }

    void add(const std::string &address)
    {
        m_agents[address];
    }

    /// The agent knows its charges of this past time span only, as if it had restarted then.
    void setCompleteFor(const std::string &address, RadishSwitch::Duration span)
    {
        m_agents[address].completeFor = span;
    }

    /// Every portion has this many tokens charged by provisional runs at the agent.
    void setProvisionalTokens(const std::string &address, std::int64_t tokens)
    {
        m_agents[address].provisionalTokens = tokens;
    }

    /// A silent agent does not answer `closePortions`, but its runs continue.
    void setSilent(const std::string &address, bool isSilent)
    {
        m_agents[address].isSilent = isSilent;
    }

    /// Starts the run. Returns false when the agent has closed the portion.
    bool start(const std::string &address, const RequestId &request, const PortionId &portion)
    {
        Agent &agent = m_agents[address];
        if (agent.closed.contains(portion)) {
            return false;
        }
        agent.running[portion].insert(request);
        return true;
    }

    void finish(const std::string &address, const RequestId &request, const PortionId &portion, std::int64_t tokens)
    {
        Agent &agent = m_agents[address];
        agent.running[portion].erase(request);
        agent.charges[portion][request] += tokens;
    }

    bool isRunning(const std::string &address, const RequestId &request, const PortionId &portion)
    {
        return m_agents[address].running[portion].contains(request);
    }

    /// Hash over all answers of `closePortions`, in their order.
    std::uint64_t answerDigest() const
    {
        return m_answerDigest;
    }

    std::vector<std::string> agentAddresses() const override
    {
        std::vector<std::string> addresses;
        for (const auto &[address, agent] : m_agents) {
            addresses.push_back(address);
        }
        return addresses;
    }

    void findRuns(const std::string &, std::vector<RequestId>, std::uint32_t, std::uint64_t,
                  std::function<void(absl::StatusOr<std::vector<RunRecord>>)> callback) override
    {
        m_tasks.post([callback = std::move(callback)] {
            callback(std::vector<RunRecord>());
        });
    }

    void closePortions(const std::string &address, std::vector<PortionId> portions,
                       std::function<void(absl::StatusOr<std::vector<PortionCharges>>)> callback) override
    {
        m_tasks.post([this, address, portions = std::move(portions), callback = std::move(callback)] {
            m_answerDigest = m_answerDigest * kDigestFactor + 1;
            if (m_agents[address].isSilent) {
                return callback(RadishSwitch::makeFailure(RadishSwitch::FailureCode::ConnectionSilent, address));
            }
            std::vector<PortionCharges> answer;
            for (const PortionId &portion : portions) {
                answer.push_back(close(m_agents[address], portion));
                addToAnswerDigest(answer.back());
            }
            callback(answer);
        });
    }

    void bar(const std::string &address, const RequestId &, const RadishSwitch::AttemptId &, RadishSwitch::RunStop,
             std::function<void(absl::StatusOr<RunRecord>)> callback) override
    {
        m_tasks.post([address, callback = std::move(callback)] {
            callback(RadishSwitch::makeFailure(RadishSwitch::FailureCode::RunUnknown, address));
        });
    }

private:
    struct Agent {
        bool isSilent = false;
        RadishSwitch::Duration completeFor = RadishSwitch::Duration::max();
        std::int64_t provisionalTokens = 0;
        std::set<PortionId> closed;
        std::map<PortionId, std::set<RequestId>> running;
        std::map<PortionId, std::map<RequestId, std::int64_t>> charges;
    };

    void addToAnswerDigest(const PortionCharges &charges)
    {
        for (const PortionCharges::Charge &charge : charges.charges) {
            m_answerDigest = m_answerDigest * kDigestFactor + static_cast<std::uint64_t>(charge.tokens);
        }
        m_answerDigest = m_answerDigest * kDigestFactor + charges.running.size();
    }

    static PortionCharges close(Agent &agent, const PortionId &portion)
    {
        agent.closed.insert(portion);
        PortionCharges charges;
        charges.portion = portion;
        charges.completeFor = agent.completeFor;
        charges.provisionalTokens = agent.provisionalTokens;
        for (const auto &[request, tokens] : agent.charges[portion]) {
            charges.charges.push_back({request, tokens});
        }
        for (const RequestId &request : agent.running[portion]) {
            RunRecord run;
            run.request = request;
            run.portion = portion;
            charges.running.push_back(run);
        }
        return charges;
    }

    static constexpr std::uint64_t kDigestFactor = 1'000'003;

    RadishSwitch::TaskQueue &m_tasks;
    std::map<std::string, Agent> m_agents;
    std::uint64_t m_answerDigest = 0;
};
