#include "routing/poolorders.h"

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

PoolOrders::PoolOrders(PoolId pool, Instant now, OrderSettings settings)
    : m_pool(std::move(pool))
    , m_settings(settings)
    , m_loads(settings.loadsPerSecond, 1, now)
{
    m_loads.take(1, now);
}

void PoolOrders::setWanted(const WantedPool &wanted)
{
    m_wanted = wanted;
}

void PoolOrders::applyReported(const OrderedEndpoint &endpoint)
{
    Target &target = m_targets[endpoint.endpoint];
    target.reported = endpoint;
    const std::optional<Wish> wish = wishFor(endpoint);
    const bool isCarriedOut = !wish || wish->kind != target.order.kind || wish->name != target.order.name;
    if (target.order.number != 0 && isCarriedOut) {
        target.order = {};
    }
}

void PoolOrders::forget(const EndpointId &endpoint)
{
    m_targets.erase(endpoint);
}

std::vector<EndpointOrder> PoolOrders::next(std::uint64_t fence, Instant now)
{
    std::vector<EndpointOrder> orders;
    for (auto &[endpoint, target] : m_targets) {
        const std::optional<Wish> wish = wishFor(target.reported);
        if (!wish || isUnderWay(target, now) || target.reported.isChanging || now < target.notBefore) {
            continue;
        }
        if (wish->kind == OrderKind::SetVersion && !mayChangeVersion(target, now)) {
            continue;
        }
        if (isLoad(wish->kind)) {
            if (m_loads.waitFor(1, now) > Duration::zero()) {
                continue;
            }
            m_loads.take(1, now);
        }
        target.order = {m_pool, endpoint, fence, ++m_number, wish->kind, wish->name};
        target.orderedAt = now;
        orders.push_back(target.order);
    }
    return orders;
}

void PoolOrders::noteFailed(const EndpointId &endpoint, Instant now)
{
    const auto it = m_targets.find(endpoint);
    if (it != m_targets.end()) {
        it->second.order = {};
        it->second.notBefore = now + m_settings.retryAfter;
    }
}

bool PoolOrders::isDone() const
{
    return std::ranges::none_of(m_targets, [this](const auto &entry) {
        return wishFor(entry.second.reported).has_value();
    });
}

std::optional<PoolOrders::Wish> PoolOrders::wishFor(const OrderedEndpoint &endpoint) const
{
    if (!m_wanted.version.empty() && endpoint.version != m_wanted.version) {
        return Wish{OrderKind::SetVersion, m_wanted.version};
    }
    // What is not wanted any more goes first: its memory may be needed.
    for (const std::string &adapter : endpoint.adapters) {
        if (!contains(m_wanted.adapters, adapter)) {
            return Wish{OrderKind::UnloadAdapter, adapter};
        }
    }
    for (const std::string &adapter : m_wanted.adapters) {
        if (!contains(endpoint.adapters, adapter)) {
            return Wish{OrderKind::LoadAdapter, adapter};
        }
    }
    return std::nullopt;
}

bool PoolOrders::isUnderWay(const Target &target, Instant now) const
{
    return target.order.number != 0 && now - target.orderedAt < m_settings.orderTimeout;
}

bool PoolOrders::isChanging(const Target &target, Instant now) const
{
    return target.reported.isChanging || (isUnderWay(target, now) && target.order.kind == OrderKind::SetVersion);
}

bool PoolOrders::mayChangeVersion(const Target &target, Instant now) const
{
    const auto changing = static_cast<std::size_t>(std::ranges::count_if(m_targets, [&](const auto &entry) {
        return isChanging(entry.second, now);
    }));
    if (changing >= m_settings.changingAtOnce) {
        return false;
    }
    // One that serves nothing anyway costs no capacity.
    if (!target.reported.isEligible) {
        return true;
    }
    const auto serving = std::ranges::count_if(m_targets, [&](const auto &entry) {
        return entry.second.reported.isEligible && !isChanging(entry.second, now);
    });
    return static_cast<double>(serving - 1) >= m_settings.keptShare * static_cast<double>(m_targets.size());
}

bool PoolOrders::isLoad(OrderKind kind)
{
    return kind == OrderKind::SetVersion || kind == OrderKind::LoadAdapter;
}

}
