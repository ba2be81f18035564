#pragma once

#include "table/tablerows.h"

#include <absl/status/statusor.h>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

struct DeclaredCell {
    std::string column;
    std::string text;

    auto operator<=>(const DeclaredCell &) const = default;
    bool operator==(const DeclaredCell &) const = default;
};

/// One row as a file declares it. Columns that the file does not have are left as they stand in the table.
struct DeclaredRow {
    TableKind kind = TableKind::Organisation;
    std::string name = {};
    /// Line of the file, from 1; zero when unknown.
    std::size_t line = 0;
    /// The row version that the file was exported with; zero when it has none.
    std::uint64_t rowVersion = 0;
    /// The fingerprint of the row at the export; empty when the file has none.
    std::string fingerprint = {};
    std::vector<DeclaredCell> cells = {};

    auto operator<=>(const DeclaredRow &) const = default;
    bool operator==(const DeclaredRow &) const = default;
};

/// What one or more files declare.
struct TableDeclaration {
    /// The kinds whose rows the files hold; rows of other kinds are none of their business.
    std::vector<TableKind> kinds = {};
    std::vector<DeclaredRow> rows = {};

    bool operator==(const TableDeclaration &) const = default;

    /// Both together. TableInvalid when a row is declared in both.
    static absl::StatusOr<TableDeclaration> merged(TableDeclaration left, const TableDeclaration &right);
};

/// Eight hexadecimal digits over a row's cells, so that a row of an old export that nobody has edited is known.
std::string fingerprintOf(const TableRow &row);

/// The declaration, or TableInvalid if its files have problems or a name is declared more than once.
absl::StatusOr<TableDeclaration> checkedDeclaration(TableDeclaration declaration,
                                                    std::vector<struct TableProblem> problems);

/// Reads a JSON file of one kind: a list of objects with "name" and columns, which `null` sets to their defaults.
absl::StatusOr<TableDeclaration> readTableJson(std::string_view text, TableKind kind);

/// Writes the rows of one kind in the form that `readTableJson` reads, one member a line, without row versions, so that
/// a version control system shows small differences.
std::string writeTableJson(const TableRows &rows, TableKind kind);

}
