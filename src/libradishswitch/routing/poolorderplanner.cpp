#include "routing/poolorderplanner.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::ranges::find(names, name) != names.end();
}

}

PoolOrderPlanner::PoolOrderPlanner(PoolId pool, Instant now, OrderSettings settings)
    : m_pool(std::move(pool))
    , m_settings(settings)
    , m_loads(settings.loadsPerSecond, 1, now)
{
    m_loads.take(1, now);
}

void PoolOrderPlanner::setDesired(const DesiredPool &wanted)
{
    m_desired = wanted;
}

void PoolOrderPlanner::applyReported(const ReportedEndpoint &endpoint)
{
    Target &target = m_targets[endpoint.endpoint];
    target.reported = endpoint;
    const std::optional<NextChange> nextChange = nextChangeFor(endpoint);
    const bool isCarriedOut =
        !nextChange || nextChange->kind != target.order.kind || nextChange->name != target.order.name;
    if (target.order.number != 0 && isCarriedOut) {
        target.order = {};
    }
}

void PoolOrderPlanner::removeEndpoint(const EndpointId &endpoint)
{
    m_targets.erase(endpoint);
}

std::vector<EndpointOrder> PoolOrderPlanner::nextOrders(std::uint64_t fence, Instant now)
{
    std::vector<EndpointOrder> orders;
    for (auto &[endpoint, target] : m_targets) {
        const std::optional<NextChange> nextChange = nextChangeFor(target.reported);
        if (!nextChange || isUnderWay(target, now) || target.reported.isChanging || now < target.notBefore) {
            continue;
        }
        if (nextChange->kind == OrderKind::SetVersion && !canChangeVersion(target, now)) {
            continue;
        }
        if (isLoad(nextChange->kind)) {
            if (m_loads.waitFor(1, now) > Duration::zero()) {
                continue;
            }
            m_loads.take(1, now);
        }
        target.order = {m_pool, endpoint, fence, ++m_lastNumber, nextChange->kind, nextChange->name};
        target.orderedAt = now;
        orders.push_back(target.order);
    }
    return orders;
}

void PoolOrderPlanner::noteFailed(const EndpointId &endpoint, Instant now)
{
    const auto it = m_targets.find(endpoint);
    if (it != m_targets.end()) {
        it->second.order = {};
        it->second.notBefore = now + m_settings.retryAfter;
    }
}

bool PoolOrderPlanner::isDone() const
{
    return std::ranges::none_of(m_targets, [this](const auto &entry) {
        return nextChangeFor(entry.second.reported).has_value();
    });
}

std::optional<PoolOrderPlanner::NextChange> PoolOrderPlanner::nextChangeFor(const ReportedEndpoint &endpoint) const
{
    if (!m_desired.version.empty() && endpoint.version != m_desired.version) {
        return NextChange{OrderKind::SetVersion, m_desired.version};
    }
    // Adapters that are no longer desired are unloaded first, because their memory may be needed for the new ones.
    for (const std::string &adapter : endpoint.adapters) {
        if (!contains(m_desired.adapters, adapter)) {
            return NextChange{OrderKind::UnloadAdapter, adapter};
        }
    }
    for (const std::string &adapter : m_desired.adapters) {
        if (!contains(endpoint.adapters, adapter)) {
            return NextChange{OrderKind::LoadAdapter, adapter};
        }
    }
    return std::nullopt;
}

bool PoolOrderPlanner::isUnderWay(const Target &target, Instant now) const
{
    return target.order.number != 0 && now - target.orderedAt < m_settings.orderTimeout;
}

bool PoolOrderPlanner::isChanging(const Target &target, Instant now) const
{
    return target.reported.isChanging || (isUnderWay(target, now) && target.order.kind == OrderKind::SetVersion);
}

bool PoolOrderPlanner::canChangeVersion(const Target &target, Instant now) const
{
    const auto changing = static_cast<std::size_t>(std::ranges::count_if(m_targets, [&](const auto &entry) {
        return isChanging(entry.second, now);
    }));
    if (changing >= m_settings.maximumChanging) {
        return false;
    }
    // Changing an endpoint that serves no requests anyway costs no capacity.
    if (!target.reported.isEligible) {
        return true;
    }
    const auto serving = std::ranges::count_if(m_targets, [&](const auto &entry) {
        return entry.second.reported.isEligible && !isChanging(entry.second, now);
    });
    return static_cast<double>(serving - 1) >= m_settings.minimumEligibleShare * static_cast<double>(m_targets.size());
}

bool PoolOrderPlanner::isLoad(OrderKind kind)
{
    return kind == OrderKind::SetVersion || kind == OrderKind::LoadAdapter;
}

}
