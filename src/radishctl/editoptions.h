#pragma once

#include "commandcontext.h"
#include "table/tableeditor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace CLI
{
class App;
}

namespace RadishSwitch
{

/// What every verb that changes the table takes.
struct EditOptions {
    std::string why;
    std::string changeId;
    std::uint64_t onRevision = 0;

    void addTo(CLI::App &verb);
};

/// Submits an edit for the operator.
absl::StatusOr<AuditRecord> submitEdit(CommandContext &context, const EditOptions &options,
                                       std::vector<TableChangePointer> changes);

/// Submits an edit and prints what came of it.
ExitCode runEdit(CommandContext &context, const EditOptions &options, std::vector<TableChangePointer> changes);

/// Prints an accepted edit.
void printAccepted(CommandContext &context, const AuditRecord &record);

/// "share=300" as column and text. InvalidSettings when there is no "=".
struct Assignment {
    std::string column;
    std::string text;
};

absl::StatusOr<std::vector<Assignment>> parseAssignments(const std::vector<std::string> &texts);

/// The kind of a name from the command line. InvalidSettings, with the names, when there is none such.
absl::StatusOr<TableKind> parseKind(const std::string &name);

}
