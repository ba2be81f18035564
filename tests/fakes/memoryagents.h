#pragma once

#include "agents/agentport.h"
#include "base/failure.h"
#include "courier.h"
#include "requests/runtable.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Agents in memory, each with the real RunTable behind its address. A test can kill an agent, or cut it off from an
/// entry process.
class MemoryAgents
{
public:
    using RunTable = RadishSwitch::RunTable;

    MemoryAgents(const RadishSwitch::TimerService &timers, std::vector<std::string> addresses)
        : m_listed(addresses.begin(), addresses.end())
    {
        for (const std::string &address : addresses) {
            RadishSwitch::RunTableSettings settings;
            settings.agentAddress = address;
            m_tables[address] = std::make_unique<RunTable>(timers, settings);
        }
    }

    /// The run table of the agent at this address, or null when the agent is dead.
    RunTable *table(const std::string &address)
    {
        const auto it = m_tables.find(address);
        return it == m_tables.end() ? nullptr : it->second.get();
    }

    /// Kills the agent; its records are lost. It stays listed until `unlist`.
    void kill(const std::string &address)
    {
        m_tables.erase(address);
    }

    /// Removes the agent from the list for good; it is not remembered as a removed one either.
    void unlist(const std::string &address)
    {
        m_listed.erase(address);
    }

    /// The platform no longer lists the agent, but it is still remembered as one that may hold runs.
    void setGone(const std::string &address)
    {
        m_gone.insert(address);
    }

    bool isGone(const std::string &address) const
    {
        return m_gone.contains(address) || !m_listed.contains(address);
    }

    /// Cuts the network between an entry process and an agent, or restores it.
    void setCut(const std::string &entry, const std::string &address, bool isCut)
    {
        if (isCut) {
            m_cuts.insert({entry, address});
        } else {
            m_cuts.erase({entry, address});
        }
    }

    bool isAlive(const std::string &address) const
    {
        return m_tables.contains(address);
    }

    /// From now on messages to the agent are lost: neither an answer nor a failure comes back.
    void setSilent(const std::string &address)
    {
        m_silent.insert(address);
    }

    bool isSilent(const std::string &address) const
    {
        return m_silent.contains(address);
    }

    bool isReachable(const std::string &entry, const std::string &address) const
    {
        return m_tables.contains(address) && !m_cuts.contains({entry, address});
    }

    const std::set<std::string> &listed() const
    {
        return m_listed;
    }

private:
    struct Link {
        std::string entry;
        std::string address;

        auto operator<=>(const Link &) const = default;
    };

    std::set<std::string> m_listed;
    std::set<std::string> m_gone;
    std::set<std::string> m_silent;
    std::set<Link> m_cuts;
    std::map<std::string, std::unique_ptr<RunTable>> m_tables;
};

/// The agents as one entry process sees them. Each call and each answer is a message that the Courier delivers.
class MemoryAgentPort : public RadishSwitch::AgentPort
{
public:
    using RunRecord = RadishSwitch::RunRecord;
    using RequestId = RadishSwitch::RequestId;
    using AttemptId = RadishSwitch::AttemptId;
    using PortionId = RadishSwitch::PortionId;
    using PortionCharges = RadishSwitch::PortionCharges;

    MemoryAgentPort(std::string entry, MemoryAgents &agents, Courier &courier)
        : m_entry(std::move(entry))
        , m_agents(agents)
        , m_courier(courier)
    {
    }

    std::vector<std::string> agentAddresses() const override
    {
        return {m_agents.listed().begin(), m_agents.listed().end()};
    }

    bool isGone(const std::string &agentAddress) const override
    {
        return m_agents.isGone(agentAddress);
    }

    void findRuns(const std::string &agentAddress, std::vector<RequestId> requests, std::uint32_t shard,
                  std::uint64_t epoch, std::function<void(absl::StatusOr<std::vector<RunRecord>>)> callback) override
    {
        const std::string text =
            "which runs of the key shard do you know? refuse those of owners before epoch " + std::to_string(epoch);
        ask<std::vector<RunRecord>>(
            agentAddress, text,
            [requests = std::move(requests), shard, epoch](RadishSwitch::RunTable &table) {
                return table.findRuns(requests, shard, epoch);
            },
            std::move(callback));
    }

    void closePortions(const std::string &agentAddress, std::vector<PortionId> portions,
                       std::function<void(absl::StatusOr<std::vector<PortionCharges>>)> callback) override
    {
        ask<std::vector<PortionCharges>>(
            agentAddress, "let no run on these portions any more; what was charged to them?",
            [portions = std::move(portions)](RadishSwitch::RunTable &table) {
                return table.closePortions(portions);
            },
            std::move(callback));
    }

    void bar(const std::string &agentAddress, const RequestId &request, const AttemptId &attempt, RadishSwitch::RunStop,
             std::function<void(absl::StatusOr<RunRecord>)> callback) override
    {
        ask<RunRecord>(
            agentAddress, "do not start " + request.value() + " any more; what became of it?",
            [request, attempt](RadishSwitch::RunTable &table) {
                return table.bar(request, attempt);
            },
            std::move(callback));
    }

    static std::string describe(const RunRecord &record)
    {
        switch (record.state) {
        case RadishSwitch::RunState::Unknown:
            return record.request.value() + " is not known";
        case RadishSwitch::RunState::Running:
            return record.request.value() + " is running";
        case RadishSwitch::RunState::Done:
            return record.request.value() + " is done, " + std::to_string(record.chargedTokens) + " tokens";
        case RadishSwitch::RunState::Failed:
            return record.request.value() + " failed";
        case RadishSwitch::RunState::Barred:
            return record.request.value() + " did not run and never will";
        }
        return "";
    }

private:
    template<typename Answer>
    using Callback = std::function<void(absl::StatusOr<Answer>)>;

    static std::string describe(const std::vector<RunRecord> &records)
    {
        std::string text;
        for (const RunRecord &record : records) {
            text += (text.empty() ? "" : "; ") + describe(record);
        }
        return text.empty() ? "none" : text;
    }

    static std::string describe(const std::vector<PortionCharges> &portions)
    {
        std::int64_t tokens = 0;
        std::size_t running = 0;
        for (const PortionCharges &portion : portions) {
            tokens += portion.foldedTokens;
            running += portion.running.size();
            for (const PortionCharges::Charge &charge : portion.charges) {
                tokens += charge.tokens;
            }
        }
        return std::to_string(tokens) + " tokens charged, " + std::to_string(running) + " still running";
    }

    template<typename Answer>
    void ask(const std::string &address, const std::string &text,
             std::function<Answer(RadishSwitch::RunTable &)> question, Callback<Answer> callback)
    {
        const auto lost = [callback] {
            callback(RadishSwitch::makeFailure(RadishSwitch::FailureCode::ConnectionLost, "the agent cannot be asked"));
        };
        const auto deliver = [this, address, question = std::move(question), callback, lost] {
            if (m_agents.isSilent(address)) {
                return;
            }
            if (!m_agents.isReachable(m_entry, address)) {
                return m_courier.carry({address, m_entry, "no connection", lost, lost});
            }
            Answer answer = question(*m_agents.table(address));
            const std::string text = describe(answer);
            m_courier.carry({address, m_entry, text,
                             [callback, answer = std::move(answer)] {
                                 callback(answer);
                             },
                             lost});
        };
        m_courier.carry({m_entry, address, text, deliver, lost});
    }

    const std::string m_entry;
    MemoryAgents &m_agents;
    Courier &m_courier;
};
