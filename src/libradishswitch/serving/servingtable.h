#pragma once

#include "serving/servingconfiguration.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <limits>
#include <memory>
#include <string_view>

namespace RadishSwitch
{

/// A configuration with the indexes in which each call is looked up. Immutable, so that a call keeps the version with
/// which it began.
class ServingTable
{
public:
    ServingTable() = default;
    explicit ServingTable(ServingConfiguration configuration);

    ServingTable(const ServingTable &) = delete;
    ServingTable &operator=(const ServingTable &) = delete;

    const ServingConfiguration &configuration() const
    {
        return m_configuration;
    }

    /// The route of the host with the longest prefix that matches the path; null if there is none. The host may contain
    /// a port and capital letters, the path a query.
    const ServingRoute *findRoute(std::string_view host, std::string_view target) const;

    /// Null if no organisation has the key.
    const ServedOrganisation *organisationOfKey(std::string_view apiKey) const;

    /// Null if the configuration does not contain the pool.
    const ServedPool *findPool(const PoolId &pool) const;

    /// Whether a route to the pool has streams that callers may continue.
    bool hasResumableStreams(const PoolId &pool) const
    {
        return m_resumablePools.contains(pool);
    }

    /// The smallest priority value, which is the most urgent, of the routes to engines. Calls to engines cost tokens.
    int mostUrgentPriority() const
    {
        return m_mostUrgentPriority;
    }

private:
    bool leadsToEngines(const ServingRoute &route) const;

    const ServingConfiguration m_configuration;
    /// Routes of a host by path prefix. Prefixes end with a slash, so that a lookup tries one prefix for each path
    /// segment.
    absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, const ServingRoute *>> m_routes;
    absl::flat_hash_map<std::string, const ServedOrganisation *> m_organisations;
    absl::flat_hash_map<PoolId, const ServedPool *> m_pools;
    absl::flat_hash_set<PoolId> m_resumablePools;
    int m_mostUrgentPriority = std::numeric_limits<int>::max();
};

using ServingTablePointer = std::shared_ptr<const ServingTable>;

}
