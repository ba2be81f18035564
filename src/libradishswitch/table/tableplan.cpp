#include "table/tableplan.h"

#include "table/rowconflict.h"
#include "table/tablecheck.h"
#include "table/tablecolumns.h"
#include "table/tableproblem.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>

namespace RadishSwitch
{

namespace
{

std::string keyOf(TableKind kind, const std::string &name)
{
    return absl::StrCat(std::string(tableKindName(kind)), " ", name);
}

absl::StatusOr<TableRow> newRow(const DeclaredRow &declared)
{
    TableRow row = defaultRow(declared.kind, declared.name);
    for (const DeclaredCell &cell : declared.cells) {
        const absl::Status status = setCell(row, cell.column, cell.text);
        if (!status.ok()) {
            return status;
        }
    }
    return row;
}

/// Whether the row stands as the export wrote it. Somebody else's later change of it is then not this file's to undo.
bool isUntouched(const DeclaredRow &declared)
{
    if (declared.fingerprint.empty() || declared.cells.size() != columnsOf(declared.kind).size()) {
        return false;
    }
    const absl::StatusOr<TableRow> row = newRow(declared);
    return row.ok() && fingerprintOf(*row) == declared.fingerprint;
}

absl::Status removedSinceExport(const DeclaredRow &declared)
{
    RowConflict conflict;
    conflict.kind = declared.kind;
    conflict.row = declared.name;
    conflict.yours = "changed";
    conflict.theirs = "removed";
    conflict.expectedVersion = declared.rowVersion;
    return rowConflictFailure(conflict);
}

/// The commands that a declared row needs, each bound to the row's version.
absl::StatusOr<std::vector<TableChangePointer>> changesOf(const DeclaredRow &declared,
                                                          const std::optional<TableRow> &present)
{
    std::vector<TableChangePointer> changes;
    if (isUntouched(declared)) {
        return changes;
    }
    if (!present && declared.rowVersion != 0) {
        return removedSinceExport(declared);
    }
    if (!present) {
        absl::StatusOr<TableRow> row = newRow(declared);
        if (!row.ok()) {
            return row.status();
        }
        changes.push_back(std::make_shared<AddRowChange>(*std::move(row)));
        return changes;
    }
    const std::uint64_t version = declared.rowVersion != 0 ? declared.rowVersion : rowVersionOf(*present);
    for (const DeclaredCell &cell : declared.cells) {
        TableRow changed = *present;
        const absl::Status status = setCell(changed, cell.column, cell.text);
        if (!status.ok()) {
            return status;
        }
        if (changed != *present) {
            changes.push_back(
                std::make_shared<SetCellChange>(declared.kind, declared.name, cell.column, cell.text, version));
        }
    }
    return changes;
}

std::vector<TableProblem> withLines(std::vector<TableProblem> problems, const TableDeclaration &declaration)
{
    std::map<std::string, std::size_t> lines;
    for (const DeclaredRow &row : declaration.rows) {
        lines[keyOf(row.kind, row.name)] = row.line;
    }
    for (TableProblem &problem : problems) {
        const auto it = problem.kind ? lines.find(keyOf(*problem.kind, problem.row)) : lines.end();
        problem.line = it == lines.end() ? 0 : it->second;
    }
    return problems;
}

void addRemovals(const TableRows &inForce, const TableDeclaration &declaration, bool prune, TablePlan &plan)
{
    std::set<std::string> declared;
    std::uint64_t exported = 0;
    for (const DeclaredRow &row : declaration.rows) {
        declared.insert(keyOf(row.kind, row.name));
        exported = std::max(exported, row.rowVersion);
    }
    for (TableKind kind : declaration.kinds) {
        for (const TableRow &row : inForce.rowsOf(kind)) {
            const std::string key = keyOf(kind, nameOf(row));
            if (declared.contains(key)) {
                continue;
            }
            plan.undeclared.push_back(key);
            // A row that came after the export is missing from the file for that reason alone.
            const bool isLater = exported != 0 && rowVersionOf(row) > exported;
            if (prune && !isLater) {
                plan.changes.push_back(std::make_shared<RemoveRowChange>(kind, nameOf(row), rowVersionOf(row)));
            }
        }
    }
}

}

bool TablePlan::isEmpty() const
{
    return changes.empty();
}

absl::StatusOr<TablePlan> planTable(const TableRows &inForce, const TableDeclaration &declaration, bool prune)
{
    TablePlan plan;
    for (const DeclaredRow &declared : declaration.rows) {
        absl::StatusOr<std::vector<TableChangePointer>> changes =
            changesOf(declared, inForce.find(declared.kind, declared.name));
        if (!changes.ok()) {
            return changes.status();
        }
        plan.changes.insert(plan.changes.end(), changes->begin(), changes->end());
    }
    addRemovals(inForce, declaration, prune, plan);
    TableRows outcome = inForce;
    for (const TableChangePointer &change : plan.changes) {
        absl::StatusOr<TableRows> changed = change->apply(std::move(outcome));
        if (!changed.ok()) {
            return changed.status();
        }
        outcome = *std::move(changed);
    }
    const std::vector<TableProblem> problems = checkTable(outcome);
    if (!problems.empty()) {
        return tableInvalid(withLines(problems, declaration));
    }
    plan.differences = differencesBetween(inForce, outcome);
    return plan;
}

}
