#include "agentlife.h"

namespace RadishSwitch
{

namespace
{

constexpr char kSeparator = '#';

}

std::string AgentLife::toString() const
{
    return incarnation.isEmpty() ? address : address + kSeparator + incarnation.value();
}

AgentLife AgentLife::parse(std::string_view text)
{
    const std::size_t n = text.find(kSeparator);
    if (n == std::string_view::npos) {
        return {std::string(text), IncarnationId()};
    }
    return {std::string(text.substr(0, n)), IncarnationId(std::string(text.substr(n + 1)))};
}

}
