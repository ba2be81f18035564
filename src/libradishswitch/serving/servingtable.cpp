#include "serving/servingtable.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

std::string hostWithoutPort(std::string_view host)
{
    return absl::AsciiStrToLower(absl::string_view(host.data(), host.substr(0, host.rfind(':')).size()));
}

}

ServingTable::ServingTable(ServingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const ServingRoute &route : m_configuration.routes) {
        m_routes[hostWithoutPort(route.host)].emplace(route.pathPrefix, &route);
    }
    for (const ServedOrganisation &organisation : m_configuration.organisations) {
        for (const std::string &apiKey : organisation.apiKeys) {
            m_organisations.emplace(apiKey, &organisation);
        }
    }
    for (const ServedPool &pool : m_configuration.pools) {
        m_pools.emplace(pool.name, &pool);
    }
    for (const ServingRoute &route : m_configuration.routes) {
        if (leadsToEngines(route)) {
            m_mostUrgentPriority = std::min(m_mostUrgentPriority, route.priority);
        }
        if (route.isStreamed && route.repetition == Repetition::ByResuming) {
            for (const WeightedPool &it : route.pools) {
                m_resumablePools.insert(it.pool);
            }
        }
    }
}

bool ServingTable::leadsToEngines(const ServingRoute &route) const
{
    return std::any_of(route.pools.begin(), route.pools.end(), [this](const WeightedPool &it) {
        const ServedPool *pool = findPool(it.pool);
        return pool && pool->hasEngines;
    });
}

const ServingRoute *ServingTable::findRoute(std::string_view host, std::string_view target) const
{
    const auto routes = m_routes.find(hostWithoutPort(host));
    if (routes == m_routes.end()) {
        return nullptr;
    }
    std::string_view prefix = target.substr(0, target.find('?'));
    for (std::size_t n = prefix.rfind('/'); n != std::string_view::npos; n = prefix.rfind('/')) {
        const auto it = routes->second.find(absl::string_view(prefix.data(), n + 1));
        if (it != routes->second.end()) {
            return it->second;
        }
        prefix = prefix.substr(0, n);
    }
    return nullptr;
}

const ServedOrganisation *ServingTable::organisationOfKey(std::string_view apiKey) const
{
    const auto it = m_organisations.find(absl::string_view(apiKey.data(), apiKey.size()));
    return it == m_organisations.end() ? nullptr : it->second;
}

const ServedPool *ServingTable::findPool(const PoolId &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? nullptr : it->second;
}

}
