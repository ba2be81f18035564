#pragma once

#include "table/tablerows.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// One accepted state of the table, immutable, with the lookups of the request path. The pointers that lookups give
/// live as long as the table: hold its shared pointer while they are in use.
class SteeringTable
{
public:
    /// A table of no rows at revision zero: what a process knows before it has learnt any.
    SteeringTable();

    /// Takes rows that have passed `checkTable`.
    SteeringTable(std::uint64_t revision, TableRows rows);

    SteeringTable(const SteeringTable &) = delete;
    SteeringTable &operator=(const SteeringTable &) = delete;

    std::uint64_t revision() const;
    const TableRows &rows() const;

    /// The organisation that owns the API key with this SHA-256 (64 lower-case hexadecimal digits); null when there is
    /// none or it is disabled.
    const OrganisationRow *organisationOfKey(std::string_view keySha256Hex) const;

    const OrganisationRow *organisation(const OrganisationId &name) const;
    const PoolRow *pool(const PoolId &name) const;

    /// The route of a chat request, drawn by weight; `draw` is from [0, 1). An organisation's own routes for the model
    /// go before those of "*". Null when no route with a weight leads to a chat pool.
    const RouteRow *routeForModel(const OrganisationId &organisation, std::string_view model, double draw) const;

    /// The same for a service, to a service pool.
    const RouteRow *routeForService(const OrganisationId &organisation, std::string_view service, double draw) const;

    /// The models that an organisation may ask for, in order of names.
    std::vector<std::string> modelsOf(const OrganisationId &organisation) const;

    /// The weight in percent of the pool's endpoints in a zone; 100 where no row names them.
    std::int64_t weightPercent(const PoolId &pool, std::string_view zone) const;

private:
    /// The routes of one organisation for one model, with weights summed up to each.
    struct WeightedRoutes {
        std::vector<const RouteRow *> routes;
        std::vector<std::int64_t> summedWeights;

        void add(const RouteRow &route);
        const RouteRow *draw(double fraction) const;
    };

    struct TargetRoutes {
        absl::flat_hash_map<std::string, WeightedRoutes> own;
        WeightedRoutes any;
    };

    using RouteIndex = absl::flat_hash_map<std::string, TargetRoutes>;

    static const RouteRow *routeIn(const RouteIndex &index, const OrganisationId &organisation, std::string_view target,
                                   double draw);
    void indexRoutes();

    std::uint64_t m_revision = 0;
    TableRows m_rows;
    absl::flat_hash_map<std::string, const OrganisationRow *> m_organisationsByKey;
    absl::flat_hash_map<std::string, const OrganisationRow *> m_organisations;
    absl::flat_hash_map<std::string, const PoolRow *> m_pools;
    RouteIndex m_models;
    RouteIndex m_services;
};

using SteeringTablePointer = std::shared_ptr<const SteeringTable>;

}
