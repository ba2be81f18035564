#include "limits/servicerate.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr Duration kMinSpan = std::chrono::milliseconds(200);
constexpr Duration kTargetSpan = std::chrono::seconds(2);
constexpr Duration kMaxSpan = std::chrono::seconds(60);
constexpr std::size_t kTargetServices = 16;

}

void ServiceRate::advance(bool isBusy, Instant now)
{
    if (isBusy) {
        m_busyTime += std::max(Duration::zero(), now - m_advancedAt);
    }
    m_advancedAt = now;
    dropOldServices();
}

void ServiceRate::noteServed(double cost)
{
    m_services.push_back({m_busyTime, cost});
    m_cost += cost;
}

std::optional<double> ServiceRate::perSecond(double typicalCost) const
{
    const Duration span = m_busyTime - m_windowBegin;
    if (span < kMinSpan) {
        return std::nullopt;
    }
    return (m_cost + typicalCost) / (static_cast<double>(span.count()) * 1e-6);
}

void ServiceRate::dropOldServices()
{
    while (!m_services.empty()) {
        const Service &oldest = m_services.front();
        const bool isSufficient = m_services.size() > kTargetServices && m_busyTime - oldest.at >= kTargetSpan;
        if (!isSufficient && m_busyTime - oldest.at < kMaxSpan) {
            return;
        }
        m_windowBegin = oldest.at;
        m_cost -= oldest.cost;
        m_services.pop_front();
    }
    m_windowBegin = std::max(m_windowBegin, m_busyTime - kMaxSpan);
}

}
