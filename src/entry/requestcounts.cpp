#include "requestcounts.h"

namespace RadishSwitch
{

void RequestCounts::noteAnswered()
{
    m_answered.fetch_add(1, std::memory_order_relaxed);
}

void RequestCounts::noteRefused(FailureCode code)
{
    m_refused[static_cast<std::size_t>(code)].fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t RequestCounts::answered() const
{
    return m_answered.load(std::memory_order_relaxed);
}

std::map<std::string, std::uint64_t> RequestCounts::refusals() const
{
    std::map<std::string, std::uint64_t> refusals;
    for (std::size_t code = 0; code < kCodes; ++code) {
        const std::uint64_t n = m_refused[code].load(std::memory_order_relaxed);
        if (n > 0) {
            refusals[std::string(failureName(static_cast<FailureCode>(code)))] = n;
        }
    }
    return refusals;
}

}
