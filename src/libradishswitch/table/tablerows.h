#pragma once

#include "table/endpointgrouprow.h"
#include "table/organisationrow.h"
#include "table/poolrow.h"
#include "table/routerow.h"
#include "table/tablekind.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace RadishSwitch
{

/// A row of any kind.
using TableRow = std::variant<OrganisationRow, PoolRow, RouteRow, EndpointGroupRow>;

TableKind kindOf(const TableRow &row);
std::string nameOf(const TableRow &row);
std::uint64_t rowVersionOf(const TableRow &row);
TableRow withRowVersion(TableRow row, std::uint64_t version);

/// A row of the kind with every member at its default.
TableRow defaultRow(TableKind kind, const std::string &name);

/// All rows of a table, each kind in order of names.
struct TableRows {
    std::vector<OrganisationRow> organisations;
    std::vector<PoolRow> pools;
    std::vector<RouteRow> routes;
    std::vector<EndpointGroupRow> endpointGroups;

    auto operator<=>(const TableRows &) const = default;
    bool operator==(const TableRows &) const = default;

    std::size_t size() const;

    /// All rows of one kind, or of every kind.
    std::vector<TableRow> rowsOf(TableKind kind) const;
    std::vector<TableRow> allRows() const;

    std::optional<TableRow> find(TableKind kind, const std::string &name) const;

    /// Puts a row in, in the place of one of the same kind and name.
    void put(TableRow row);

    /// Takes out the row of this kind and name, if there is one.
    void remove(TableKind kind, const std::string &name);
};

}
