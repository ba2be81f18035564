#include "table/steeringtable.h"

#include <absl/strings/string_view.h>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

/// The library's own view type, so that a lookup copies no string.
absl::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

template<typename Map>
typename Map::mapped_type findOrNull(const Map &map, std::string_view key)
{
    const auto it = map.find(viewOf(key));
    return it == map.end() ? nullptr : it->second;
}

}

SteeringTable::SteeringTable()
    : SteeringTable(0, {})
{
}

SteeringTable::SteeringTable(std::uint64_t revision, TableRows rows)
    : m_revision(revision)
    , m_rows(std::move(rows))
{
    for (const OrganisationRow &it : m_rows.organisations) {
        m_organisations.emplace(it.name.value(), &it);
        if (!it.isEnabled) {
            continue;
        }
        for (const std::string &key : it.keySha256) {
            m_organisationsByKey.emplace(key, &it);
        }
    }
    for (const PoolRow &it : m_rows.pools) {
        m_pools.emplace(it.name.value(), &it);
    }
    indexRoutes();
}

void SteeringTable::indexRoutes()
{
    for (const RouteRow &it : m_rows.routes) {
        const PoolRow *to = pool(it.pool);
        if (!to || it.weight == 0) {
            continue;
        }
        TargetRoutes &routes = (to->kind == PoolKind::Chat ? m_models : m_services)[it.model];
        const bool isAny = it.organisation.value() == kAnyOrganisation;
        (isAny ? routes.any : routes.own[it.organisation.value()]).add(it);
    }
}

std::uint64_t SteeringTable::revision() const
{
    return m_revision;
}

const TableRows &SteeringTable::rows() const
{
    return m_rows;
}

const OrganisationRow *SteeringTable::organisationOfKey(std::string_view keySha256Hex) const
{
    return findOrNull(m_organisationsByKey, keySha256Hex);
}

const OrganisationRow *SteeringTable::organisation(const OrganisationId &name) const
{
    return findOrNull(m_organisations, name.value());
}

const PoolRow *SteeringTable::pool(const PoolId &name) const
{
    return findOrNull(m_pools, name.value());
}

const RouteRow *SteeringTable::routeForModel(const OrganisationId &organisation, std::string_view model,
                                             double draw) const
{
    return routeIn(m_models, organisation, model, draw);
}

const RouteRow *SteeringTable::routeForService(const OrganisationId &organisation, std::string_view service,
                                               double draw) const
{
    return routeIn(m_services, organisation, service, draw);
}

const RouteRow *SteeringTable::routeIn(const RouteIndex &index, const OrganisationId &organisation,
                                       std::string_view target, double draw)
{
    const auto it = index.find(viewOf(target));
    if (it == index.end()) {
        return nullptr;
    }
    const auto own = it->second.own.find(organisation.value());
    return own == it->second.own.end() ? it->second.any.draw(draw) : own->second.draw(draw);
}

std::vector<std::string> SteeringTable::modelsOf(const OrganisationId &organisation) const
{
    std::vector<std::string> models;
    for (const auto &[model, routes] : m_models) {
        if (!routes.any.routes.empty() || routes.own.contains(organisation.value())) {
            models.push_back(model);
        }
    }
    std::sort(models.begin(), models.end());
    return models;
}

std::int64_t SteeringTable::weightPercent(const PoolId &pool, std::string_view zone) const
{
    for (const EndpointGroupRow &it : m_rows.endpointGroups) {
        if (it.pool == pool && it.zone == zone) {
            return it.weightPercent;
        }
    }
    return kFullWeightPercent;
}

void SteeringTable::WeightedRoutes::add(const RouteRow &route)
{
    const std::int64_t before = summedWeights.empty() ? 0 : summedWeights.back();
    routes.push_back(&route);
    summedWeights.push_back(before + route.weight);
}

const RouteRow *SteeringTable::WeightedRoutes::draw(double fraction) const
{
    if (routes.empty()) {
        return nullptr;
    }
    const double point = fraction * static_cast<double>(summedWeights.back());
    const auto it = std::upper_bound(summedWeights.begin(), summedWeights.end(), point);
    const std::size_t n = std::min<std::size_t>(it - summedWeights.begin(), routes.size() - 1);
    return routes[n];
}

}
