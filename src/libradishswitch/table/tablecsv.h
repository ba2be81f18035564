#pragma once

#include "table/tabledeclaration.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

// The table as CSV for a spreadsheet: one file with a column "kind", or one of a single kind without it. Columns and
// rows may stand in any order. A cell that does not belong to its row's kind stays empty.

/// Writes all rows, or those of one kind. A cell that a spreadsheet would take for a formula begins with an apostrophe.
std::string writeTableCsv(const TableRows &rows, std::optional<TableKind> kind);

/// Reads such a file. Without a column "kind" its rows are of `kind`. TableInvalid with every problem found: unknown or
/// repeated columns, cells out of range or changed by a spreadsheet, records of another length, repeated names.
absl::StatusOr<TableDeclaration> readTableCsv(std::string_view text, std::optional<TableKind> kind);

}
