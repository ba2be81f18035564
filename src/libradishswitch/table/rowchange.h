#pragma once

#include "table/tablerows.h"

#include <absl/status/status.h>

#include <compare>
#include <string>
#include <vector>

namespace RadishSwitch
{

enum class RowChangeType {
    Added,
    Changed,
    Removed,
};

/// One cell before and after, as text.
struct CellChange {
    std::string column;
    std::string before;
    std::string after;

    auto operator<=>(const CellChange &) const = default;
    bool operator==(const CellChange &) const = default;
};

/// What became of one row. An added or removed row tells its cells that differ from their defaults.
struct RowChange {
    TableKind kind = TableKind::Organisation;
    std::string name;
    RowChangeType type = RowChangeType::Changed;
    std::vector<CellChange> cells;

    auto operator<=>(const RowChange &) const = default;
    bool operator==(const RowChange &) const = default;

    /// `organisation "acme": share 100 -> 300`.
    std::string toString() const;
};

std::string_view rowChangeTypeName(RowChangeType type);

/// What has to be done to `before` to get `after`; row versions are not compared.
std::vector<RowChange> differencesBetween(const TableRows &before, const TableRows &after);

/// Does the changes to `rows` and gives each changed row the version. MalformedMessage when one does not fit.
absl::Status applyRowChanges(TableRows &rows, const std::vector<RowChange> &changes, std::uint64_t version);

}
