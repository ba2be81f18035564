#pragma once

#include "table/tablerows.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace RadishSwitch
{

/// One command that turns a table into another.
class TableChange
{
public:
    virtual ~TableChange() = default;

    /// The rows after the change. TableInvalid when a cell does not fit its column, RowMissing when there is no such
    /// row, RowConflict (with the values, without the winner) when the row is not as it was when the change was made.
    virtual absl::StatusOr<TableRows> apply(TableRows rows) const = 0;

    /// For people: `set organisation "acme" share to 300`.
    virtual std::string describe() const = 0;

    /// The row version that the change was made on; zero when it is not bound to one. A table below that revision is
    /// older than what the operator has seen.
    virtual std::uint64_t expectedVersion() const = 0;
};

using TableChangePointer = std::shared_ptr<const TableChange>;

/// Sets one cell of a row.
class SetCellChange : public TableChange
{
public:
    /// Version zero makes the change whatever became of the row.
    SetCellChange(TableKind kind, std::string name, std::string column, std::string text,
                  std::uint64_t expectedVersion);

    absl::StatusOr<TableRows> apply(TableRows rows) const override;
    std::string describe() const override;
    std::uint64_t expectedVersion() const override;

private:
    TableKind m_kind;
    std::string m_name;
    std::string m_column;
    std::string m_text;
    std::uint64_t m_expectedVersion;
};

/// Adds a row; one that stands there already with the same cells is left as it is.
class AddRowChange : public TableChange
{
public:
    explicit AddRowChange(TableRow row);

    absl::StatusOr<TableRows> apply(TableRows rows) const override;
    std::string describe() const override;
    std::uint64_t expectedVersion() const override;

private:
    TableRow m_row;
};

/// Removes a row.
class RemoveRowChange : public TableChange
{
public:
    RemoveRowChange(TableKind kind, std::string name, std::uint64_t expectedVersion);

    absl::StatusOr<TableRows> apply(TableRows rows) const override;
    std::string describe() const override;
    std::uint64_t expectedVersion() const override;

private:
    TableKind m_kind;
    std::string m_name;
    std::uint64_t m_expectedVersion;
};

}
