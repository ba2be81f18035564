#pragma once

#include "table/rowchange.h"
#include "table/tablechange.h"
#include "table/tabledeclaration.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace RadishSwitch
{

/// What has to be done to a table to make it as declared.
struct TablePlan {
    /// What an editor submits, bound to the row versions that the plan was made on.
    std::vector<TableChangePointer> changes;
    /// The same for people and for the audit trail.
    std::vector<RowChange> differences;
    /// Rows of the declared kinds that no file declares; left in place unless the plan prunes.
    std::vector<std::string> undeclared;

    bool isEmpty() const;
};

/// Plans a declaration against the rows in force. TableInvalid, with lines where the file has them, when the outcome
/// would not pass `checkTable`; RowConflict (with the values, without the winner) when a row has changed since the file
/// was exported and was edited in the file. A row that the file holds as it was exported is left as it is in force.
/// With `prune`, rows of the declared kinds that no file declares are removed, but for those that are newer than the
/// export.
absl::StatusOr<TablePlan> planTable(const TableRows &inForce, const TableDeclaration &declaration, bool prune);

}
