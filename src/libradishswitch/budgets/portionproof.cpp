#include "budgets/portionproof.h"

#include <algorithm>

namespace RadishSwitch
{

void PortionProof::add(const std::string &agentAddress, const PortionCharges &charges)
{
    m_answers[agentAddress] = charges;
}

bool PortionProof::hasAnswerOf(const std::string &agentAddress) const
{
    return m_answers.contains(agentAddress);
}

bool PortionProof::hasRunsAt(const std::string &agentAddress) const
{
    const auto it = m_answers.find(agentAddress);
    return it != m_answers.end() && !it->second.running.empty();
}

std::int64_t PortionProof::provisionalTokens() const
{
    std::int64_t sum = 0;
    for (const auto &[address, charges] : m_answers) {
        sum += charges.provisionalTokens;
    }
    return sum;
}

std::set<std::string> PortionProof::agentsYoungerThan(Duration age) const
{
    std::set<std::string> addresses;
    for (const auto &[address, charges] : m_answers) {
        if (charges.completeFor < age) {
            addresses.insert(address);
        }
    }
    return addresses;
}

std::int64_t PortionProof::provedTokens() const
{
    std::map<RequestId, std::int64_t> greatest;
    std::int64_t sum = 0;
    for (const auto &[address, charges] : m_answers) {
        sum += charges.foldedTokens;
        for (const PortionCharges::Charge &charge : charges.charges) {
            std::int64_t &tokens = greatest[charge.request];
            tokens = std::max(tokens, charge.tokens);
        }
    }
    for (const auto &[request, tokens] : greatest) {
        sum += tokens;
    }
    return sum;
}

}
