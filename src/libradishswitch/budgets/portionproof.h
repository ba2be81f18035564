#pragma once

#include "agents/agentport.h"

#include <map>
#include <set>

namespace RadishSwitch
{

/// The charges to one portion that the agents have reported so far. A later answer of an agent replaces its earlier
/// one.
class PortionProof
{
public:
    /// Adds the answer of an agent. An agent that has answered starts no new run on the portion.
    void add(const std::string &agentAddress, const PortionCharges &charges);

    bool hasAnswerOf(const std::string &agentAddress) const;

    /// Whether runs on the portion were in progress at the agent when it last answered.
    bool hasRunsAt(const std::string &agentAddress) const;

    /// Charges of provisional runs. The same requests may be billed through another run, so these tokens are neither
    /// proved nor free.
    std::int64_t provisionalTokens() const;

    /// Agents whose records do not cover the whole of the last `age`. Charges from before that, by these agents or by
    /// the agents that they replaced, are lost.
    std::set<std::string> agentsYoungerThan(Duration age) const;

    /// The sum of all charges. A request that was charged at two agents, because it was retried at the second, counts
    /// once with the larger charge. Charges that an agent has merged into one sum are added unchanged.
    std::int64_t provedTokens() const;

private:
    std::map<std::string, PortionCharges> m_answers;
};

}
