#include "table/rowchange.h"

#include "base/failure.h"
#include "table/tablecolumns.h"

#include <absl/strings/str_cat.h>

namespace RadishSwitch
{

namespace
{

std::vector<CellChange> cellsBetween(const TableRow &before, const TableRow &after)
{
    std::vector<CellChange> cells;
    for (const TableColumn &column : columnsOf(kindOf(before))) {
        const std::string from = cellOf(before, column.name);
        const std::string to = cellOf(after, column.name);
        if (from != to) {
            cells.push_back({std::string(column.name), from, to});
        }
    }
    return cells;
}

RowChange added(const TableRow &row)
{
    const TableRow blank = defaultRow(kindOf(row), nameOf(row));
    return {kindOf(row), nameOf(row), RowChangeType::Added, cellsBetween(blank, row)};
}

RowChange removed(const TableRow &row)
{
    const TableRow blank = defaultRow(kindOf(row), nameOf(row));
    return {kindOf(row), nameOf(row), RowChangeType::Removed, cellsBetween(row, blank)};
}

void addDifferences(TableKind kind, const TableRows &before, const TableRows &after, std::vector<RowChange> &changes)
{
    for (const TableRow &row : before.rowsOf(kind)) {
        if (!after.find(kind, nameOf(row))) {
            changes.push_back(removed(row));
        }
    }
    for (const TableRow &row : after.rowsOf(kind)) {
        const std::optional<TableRow> old = before.find(kind, nameOf(row));
        if (!old) {
            changes.push_back(added(row));
            continue;
        }
        std::vector<CellChange> cells = cellsBetween(*old, row);
        if (!cells.empty()) {
            changes.push_back({kind, nameOf(row), RowChangeType::Changed, std::move(cells)});
        }
    }
}

absl::Status applyOne(TableRows &rows, const RowChange &change, std::uint64_t version)
{
    const std::optional<TableRow> present = rows.find(change.kind, change.name);
    if (present.has_value() != (change.type != RowChangeType::Added)) {
        return makeFailure(FailureCode::MalformedMessage, "a change does not fit its table: " + change.toString());
    }
    if (change.type == RowChangeType::Removed) {
        rows.remove(change.kind, change.name);
        return absl::OkStatus();
    }
    TableRow row = present.value_or(defaultRow(change.kind, change.name));
    for (const CellChange &cell : change.cells) {
        const absl::Status status = setCell(row, cell.column, cell.after);
        if (!status.ok()) {
            return makeFailure(FailureCode::MalformedMessage, std::string(status.message()));
        }
    }
    rows.put(withRowVersion(std::move(row), version));
    return absl::OkStatus();
}

}

std::string_view rowChangeTypeName(RowChangeType type)
{
    switch (type) {
    case RowChangeType::Added:
        return "added";
    case RowChangeType::Changed:
        return "changed";
    case RowChangeType::Removed:
        break;
    }
    return "removed";
}

std::string RowChange::toString() const
{
    std::string text = absl::StrCat(std::string(tableKindName(kind)), " \"", name, "\"");
    if (type != RowChangeType::Changed) {
        absl::StrAppend(&text, " ", std::string(rowChangeTypeName(type)));
    }
    const char *separator = ": ";
    for (const CellChange &cell : cells) {
        absl::StrAppend(&text, separator, cell.column, " ");
        if (type == RowChangeType::Changed) {
            absl::StrAppend(&text, cell.before.empty() ? "(empty)" : cell.before, " -> ");
        }
        const std::string &shown = type == RowChangeType::Removed ? cell.before : cell.after;
        absl::StrAppend(&text, shown.empty() ? "(empty)" : shown);
        separator = ", ";
    }
    return text;
}

std::vector<RowChange> differencesBetween(const TableRows &before, const TableRows &after)
{
    std::vector<RowChange> changes;
    for (TableKind kind : kTableKinds) {
        addDifferences(kind, before, after, changes);
    }
    return changes;
}

absl::Status applyRowChanges(TableRows &rows, const std::vector<RowChange> &changes, std::uint64_t version)
{
    for (const RowChange &change : changes) {
        const absl::Status status = applyOne(rows, change, version);
        if (!status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

}
