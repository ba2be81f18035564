#pragma once

#include "agents/agentport.h"

#include <map>
#include <set>

namespace RadishSwitch
{

/// What the agents have proved about one portion so far. A later answer of an agent replaces its earlier one.
class PortionProof
{
public:
    /// Takes in what an agent told. An agent that has told once has closed the portion for good.
    void add(const std::string &agentAddress, const PortionCharges &charges);

    bool hasAnswerOf(const std::string &agentAddress) const;

    /// Whether runs on the portion went on at the agent when it last told.
    bool hasRunsAt(const std::string &agentAddress) const;

    /// Charges of provisional runs: the same requests may be billed by another run, so they are neither proved nor
    /// free.
    std::int64_t provisionalTokens() const;

    /// Agents that do not know every charge of the last `age`: what they, or those they took the place of, charged
    /// before is lost.
    std::set<std::string> agentsYoungerThan(Duration age) const;

    /// The sum of all charges. A request charged at two agents, since it was taken up at the second, counts once, with
    /// the greater charge. Charges that an agent has folded together count as they are.
    std::int64_t provedTokens() const;

private:
    std::map<std::string, PortionCharges> m_answers;
};

}
