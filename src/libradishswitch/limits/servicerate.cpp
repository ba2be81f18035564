#include "limits/servicerate.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr Duration kLeastSpan = std::chrono::milliseconds(200);
constexpr Duration kWantedSpan = std::chrono::seconds(2);
constexpr Duration kLongestSpan = std::chrono::seconds(60);
constexpr std::size_t kWantedServices = 16;

}

void ServiceRate::advance(bool isBusy, Instant now)
{
    if (isBusy) {
        m_busy += std::max(Duration::zero(), now - m_at);
    }
    m_at = now;
    forgetOld();
}

void ServiceRate::noteServed(double cost)
{
    m_services.push_back({m_busy, cost});
    m_cost += cost;
}

std::optional<double> ServiceRate::perSecond(double typicalCost) const
{
    const Duration span = m_busy - m_begin;
    if (span < kLeastSpan) {
        return std::nullopt;
    }
    return (m_cost + typicalCost) / (static_cast<double>(span.count()) * 1e-6);
}

void ServiceRate::forgetOld()
{
    while (!m_services.empty()) {
        const Service &oldest = m_services.front();
        const bool isPlenty = m_services.size() > kWantedServices && m_busy - oldest.at >= kWantedSpan;
        if (!isPlenty && m_busy - oldest.at < kLongestSpan) {
            return;
        }
        m_begin = oldest.at;
        m_cost -= oldest.cost;
        m_services.pop_front();
    }
    m_begin = std::max(m_begin, m_busy - kLongestSpan);
}

}
