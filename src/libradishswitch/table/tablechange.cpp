#include "table/tablechange.h"

#include "base/failure.h"
#include "table/rowchange.h"
#include "table/rowconflict.h"
#include "table/tablecolumns.h"

#include <absl/strings/str_cat.h>

namespace RadishSwitch
{

namespace
{

constexpr char kNoRow[] = "no such row";

std::string shownRow(TableKind kind, const std::string &name)
{
    return absl::StrCat(std::string(tableKindName(kind)), " \"", name, "\"");
}

bool hasSameCells(const TableRow &left, const TableRow &right)
{
    return withRowVersion(left, 0) == withRowVersion(right, 0);
}

/// A change bound to a version must not be made on a later one: its operator has not seen what stands there now.
bool isOvertaken(std::uint64_t expectedVersion, const TableRow &present)
{
    return expectedVersion != 0 && rowVersionOf(present) != expectedVersion;
}

absl::Status missingRow(TableKind kind, const std::string &name, const std::string &yours,
                        std::uint64_t expectedVersion)
{
    if (expectedVersion == 0) {
        return makeFailure(FailureCode::RowMissing, "there is no " + shownRow(kind, name));
    }
    RowConflict conflict;
    conflict.kind = kind;
    conflict.row = name;
    conflict.yours = yours;
    conflict.theirs = kNoRow;
    conflict.expectedVersion = expectedVersion;
    return rowConflictFailure(conflict);
}

}

SetCellChange::SetCellChange(TableKind kind, std::string name, std::string column, std::string text,
                             std::uint64_t expectedVersion)
    : m_kind(kind)
    , m_name(std::move(name))
    , m_column(std::move(column))
    , m_text(std::move(text))
    , m_expectedVersion(expectedVersion)
{
}

absl::StatusOr<TableRows> SetCellChange::apply(TableRows rows) const
{
    const std::optional<TableRow> present = rows.find(m_kind, m_name);
    if (!present) {
        return missingRow(m_kind, m_name, m_text, m_expectedVersion);
    }
    TableRow changed = *present;
    const absl::Status status = setCell(changed, m_column, m_text);
    if (!status.ok()) {
        return status;
    }
    if (isOvertaken(m_expectedVersion, *present) && changed != *present) {
        RowConflict conflict;
        conflict.kind = m_kind;
        conflict.row = m_name;
        conflict.column = m_column;
        conflict.yours = m_text;
        conflict.theirs = cellOf(*present, m_column);
        conflict.expectedVersion = m_expectedVersion;
        conflict.presentVersion = rowVersionOf(*present);
        return rowConflictFailure(conflict);
    }
    rows.put(std::move(changed));
    return rows;
}

std::string SetCellChange::describe() const
{
    return absl::StrCat("set ", shownRow(m_kind, m_name), " ", m_column, " to ", m_text.empty() ? "(empty)" : m_text);
}

std::uint64_t SetCellChange::expectedVersion() const
{
    return m_expectedVersion;
}

AddRowChange::AddRowChange(TableRow row)
    : m_row(std::move(row))
{
}

absl::StatusOr<TableRows> AddRowChange::apply(TableRows rows) const
{
    const std::optional<TableRow> present = rows.find(kindOf(m_row), nameOf(m_row));
    if (!present) {
        rows.put(m_row);
        return rows;
    }
    if (hasSameCells(*present, m_row)) {
        return rows;
    }
    RowConflict conflict;
    conflict.kind = kindOf(m_row);
    conflict.row = nameOf(m_row);
    conflict.yours = "a new row";
    conflict.theirs = "a row that stands there already";
    conflict.presentVersion = rowVersionOf(*present);
    return rowConflictFailure(conflict);
}

std::string AddRowChange::describe() const
{
    return "add " + shownRow(kindOf(m_row), nameOf(m_row));
}

std::uint64_t AddRowChange::expectedVersion() const
{
    return 0;
}

RemoveRowChange::RemoveRowChange(TableKind kind, std::string name, std::uint64_t expectedVersion)
    : m_kind(kind)
    , m_name(std::move(name))
    , m_expectedVersion(expectedVersion)
{
}

absl::StatusOr<TableRows> RemoveRowChange::apply(TableRows rows) const
{
    const std::optional<TableRow> present = rows.find(m_kind, m_name);
    if (!present) {
        return makeFailure(FailureCode::RowMissing, "there is no " + shownRow(m_kind, m_name));
    }
    if (isOvertaken(m_expectedVersion, *present)) {
        RowConflict conflict;
        conflict.kind = m_kind;
        conflict.row = m_name;
        conflict.yours = "removed";
        conflict.theirs = "changed";
        conflict.expectedVersion = m_expectedVersion;
        conflict.presentVersion = rowVersionOf(*present);
        return rowConflictFailure(conflict);
    }
    rows.remove(m_kind, m_name);
    return rows;
}

std::string RemoveRowChange::describe() const
{
    return "remove " + shownRow(m_kind, m_name);
}

std::uint64_t RemoveRowChange::expectedVersion() const
{
    return m_expectedVersion;
}

}
