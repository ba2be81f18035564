#include "table/tablecheck.h"

#include "table/tablecolumns.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <set>

namespace RadishSwitch
{

namespace
{

/// Below one request in so many, a share is none: the fair queue would never come to it within a queue's deadline.
constexpr std::int64_t kSmallestShareOfPool = 100'000;

/// The requests that a set of routes shares out.
struct RouteTarget {
    std::string organisation;
    std::string model;
    bool isService = false;

    auto operator<=>(const RouteTarget &) const = default;
};

struct TargetWeight {
    std::int64_t weight = 0;
    std::string firstRoute;
};

class TableCheck
{
public:
    explicit TableCheck(const TableRows &rows)
        : m_rows(rows)
    {
    }

    std::vector<TableProblem> run()
    {
        checkCells();
        checkKeys();
        checkPools();
        checkRoutes();
        checkWeights();
        checkEndpointGroups();
        checkShares();
        return std::move(m_problems);
    }

private:
    void report(TableKind kind, const std::string &row, const std::string &column, const std::string &value,
                const std::string &expected)
    {
        m_problems.push_back({0, kind, row, column, value, expected});
    }

    const PoolRow *pool(const PoolId &name) const
    {
        const auto it = std::find_if(m_rows.pools.begin(), m_rows.pools.end(), [&name](const PoolRow &row) {
            return row.name == name;
        });
        return it == m_rows.pools.end() ? nullptr : &*it;
    }

    std::string poolNames() const
    {
        return absl::StrJoin(m_rows.pools, ", ", [](std::string *out, const PoolRow &row) {
            *out += row.name.value();
        });
    }

    void checkCells()
    {
        for (const TableRow &row : m_rows.allRows()) {
            if (!isRowName(nameOf(row))) {
                report(kindOf(row), nameOf(row), "name", nameOf(row), std::string(kRowNameExpected));
            }
            for (const TableColumn &column : columnsOf(kindOf(row))) {
                checkCell(row, column);
            }
        }
    }

    void checkCell(const TableRow &row, const TableColumn &column)
    {
        const std::string text = cellOf(row, column.name);
        TableRow copy = row;
        const bool isNeeded = column.type == CellType::Name || column.type == CellType::NameOrAny
            || (column.name == "model" && column.type == CellType::ModelName);
        if ((text.empty() && isNeeded) || !setCell(copy, column.name, text).ok()) {
            report(kindOf(row), nameOf(row), std::string(column.name), text, expectedOf(column));
        }
    }

    void checkKeys()
    {
        std::map<std::string, std::string> owners;
        for (const OrganisationRow &row : m_rows.organisations) {
            for (const std::string &key : row.keySha256) {
                const auto [it, isNew] = owners.emplace(key, row.name.value());
                if (!isNew) {
                    report(TableKind::Organisation, row.name.value(), "keys", "sha256:" + key,
                           absl::StrCat("a key of one organisation; it is also a key of \"", it->second, "\""));
                }
            }
        }
    }

    void checkPools()
    {
        for (const PoolRow &row : m_rows.pools) {
            const std::string name = row.name.value();
            if (row.kind == PoolKind::Chat) {
                reportUnless(row.nonIdempotent.empty(), name, "non_idempotent", "empty, since the pool serves chat");
                reportUnless(row.tokensPerCall == 0, name, "tokens_per_call", "0, since the pool serves chat");
                reportUnless(!row.models.empty(), name, "models", "at least one model, since the pool serves chat");
            } else {
                reportUnless(row.models.empty(), name, "models", "empty, since the pool serves a service");
                reportUnless(row.adapters.empty(), name, "adapters", "empty, since the pool serves a service");
            }
        }
    }

    void reportUnless(bool isRight, const std::string &poolName, const std::string &column, const std::string &expected)
    {
        if (!isRight) {
            const std::optional<TableRow> row = m_rows.find(TableKind::Pool, poolName);
            report(TableKind::Pool, poolName, column, row ? cellOf(*row, column) : "", expected);
        }
    }

    void checkRoutes()
    {
        std::map<std::string, std::string> seen;
        for (const RouteRow &row : m_rows.routes) {
            checkRouteNames(row);
            const std::string same = absl::StrCat(row.organisation.value(), "\n", row.model, "\n", row.pool.value());
            const auto [it, isNew] = seen.emplace(same, row.name);
            if (!isNew) {
                report(TableKind::Route, row.name, "pool", row.pool.value(),
                       absl::StrCat("another pool: route \"", it->second, "\" leads the same requests to it"));
            }
        }
    }

    void checkRouteNames(const RouteRow &row)
    {
        const bool isAny = row.organisation.value() == kAnyOrganisation;
        if (!isAny && !m_rows.find(TableKind::Organisation, row.organisation.value())) {
            report(TableKind::Route, row.name, "organisation", row.organisation.value(),
                   "the name of an organisation of the table, or \"*\"");
        }
        const PoolRow *to = pool(row.pool);
        if (!to) {
            report(TableKind::Route, row.name, "pool", row.pool.value(), "one of the pools: " + poolNames());
            return;
        }
        const bool isServed = std::find(to->models.begin(), to->models.end(), row.model) != to->models.end();
        if (to->kind == PoolKind::Chat && !isServed) {
            report(TableKind::Route, row.name, "model", row.model,
                   absl::StrCat("one of the models of pool \"", to->name.value(),
                                "\": ", absl::StrJoin(to->models, ", ")));
        }
    }

    std::map<RouteTarget, TargetWeight> weightsOfTargets() const
    {
        std::map<RouteTarget, TargetWeight> weights;
        for (const RouteRow &row : m_rows.routes) {
            const PoolRow *to = pool(row.pool);
            const bool isService = to && to->kind == PoolKind::Service;
            TargetWeight &target = weights[{row.organisation.value(), row.model, isService}];
            target.weight += row.weight;
            target.firstRoute = target.firstRoute.empty() ? row.name : target.firstRoute;
        }
        return weights;
    }

    void checkWeights()
    {
        for (const auto &[target, sum] : weightsOfTargets()) {
            if (sum.weight == 0) {
                report(TableKind::Route, sum.firstRoute, "weight", "0",
                       absl::StrCat("above 0 on a route of organisation \"", target.organisation, "\" for \"",
                                    target.model, "\"; remove the routes to stop serving it"));
            }
        }
    }

    void checkEndpointGroups()
    {
        std::map<std::string, std::string> seen;
        for (const EndpointGroupRow &row : m_rows.endpointGroups) {
            if (!pool(row.pool)) {
                report(TableKind::EndpointGroup, row.name, "pool", row.pool.value(),
                       "one of the pools: " + poolNames());
            }
            const auto [it, isNew] = seen.emplace(absl::StrCat(row.pool.value(), "\n", row.zone), row.name);
            if (!isNew) {
                report(TableKind::EndpointGroup, row.name, "zone", row.zone,
                       absl::StrCat("another zone: group \"", it->second, "\" names the same endpoints"));
            }
        }
    }

    /// The organisations that can wait at each pool.
    std::map<std::string, std::set<const OrganisationRow *>> organisationsOfPools() const
    {
        std::map<std::string, std::set<const OrganisationRow *>> waiting;
        const std::map<RouteTarget, TargetWeight> targets = weightsOfTargets();
        for (const RouteRow &route : m_rows.routes) {
            const PoolRow *to = pool(route.pool);
            for (const OrganisationRow &row : m_rows.organisations) {
                const bool isOwn = route.organisation == row.name;
                const bool isAny = route.organisation.value() == kAnyOrganisation && to
                    && !targets.contains({row.name.value(), route.model, to->kind == PoolKind::Service});
                if (row.isEnabled && route.weight > 0 && (isOwn || isAny)) {
                    waiting[route.pool.value()].insert(&row);
                }
            }
        }
        return waiting;
    }

    void checkShares()
    {
        std::set<std::string> reported;
        for (const auto &[poolName, organisations] : organisationsOfPools()) {
            std::int64_t sum = 0;
            for (const OrganisationRow *row : organisations) {
                sum += row->share;
            }
            const std::int64_t least = (sum + kSmallestShareOfPool - 1) / kSmallestShareOfPool;
            for (const OrganisationRow *row : organisations) {
                if (row->share < least && reported.insert(row->name.value()).second) {
                    report(TableKind::Organisation, row->name.value(), "share", std::to_string(row->share),
                           absl::StrCat("at least ", least, ": the shares at pool \"", poolName, "\" add up to ", sum,
                                        ", and one below a hundred thousandth of that cannot be met"));
                }
            }
        }
    }

    const TableRows &m_rows;
    std::vector<TableProblem> m_problems;
};

}

std::vector<TableProblem> checkTable(const TableRows &rows)
{
    return TableCheck(rows).run();
}

}
