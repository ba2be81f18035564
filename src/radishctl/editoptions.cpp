#include "editoptions.h"

#include "base/failure.h"
#include "table/tablejson.h"

#include <absl/strings/str_cat.h>
#include <CLI/CLI.hpp>

namespace RadishSwitch
{

void EditOptions::addTo(CLI::App &verb)
{
    verb.add_option("-r,--reason", why, "Why, for the audit trail");
    verb.add_option("--change-id", changeId,
                    "Send an edit of unknown outcome again under the id that its failure named");
    verb.add_option("--on-revision", onRevision, "Refuse the edit when the table is at another revision");
}

absl::StatusOr<AuditRecord> submitEdit(CommandContext &context, const EditOptions &options,
                                       std::vector<TableChangePointer> changes)
{
    TableEdit edit;
    edit.changes = std::move(changes);
    edit.who = context.options().operatorName;
    edit.fromWhere = context.options().fromWhere;
    edit.why = options.why;
    edit.changeId = options.changeId;
    edit.onRevision = options.onRevision;
    const CommandEnvironment &environment = context.environment();
    TableEditor editor(environment.store, environment.timers, environment.tasks, environment.random);
    return context.await<AuditRecord>([&](std::function<void(absl::StatusOr<AuditRecord>)> callback) {
        editor.submit(edit, std::move(callback));
    });
}

void printAccepted(CommandContext &context, const AuditRecord &record)
{
    std::string text = record.changes.empty() ? absl::StrCat("nothing to change at revision ", record.revision)
                                              : absl::StrCat("accepted as revision ", record.revision);
    for (const RowChange &change : record.changes) {
        absl::StrAppend(&text, "\n  ", change.toString());
    }
    context.output().print(recordToJson(record), text);
}

ExitCode runEdit(CommandContext &context, const EditOptions &options, std::vector<TableChangePointer> changes)
{
    const absl::StatusOr<AuditRecord> record = submitEdit(context, options, std::move(changes));
    if (!record.ok()) {
        return context.fail(record.status());
    }
    printAccepted(context, *record);
    return ExitCode::Ok;
}

absl::StatusOr<std::vector<Assignment>> parseAssignments(const std::vector<std::string> &texts)
{
    std::vector<Assignment> assignments;
    for (const std::string &text : texts) {
        const std::size_t mark = text.find('=');
        if (mark == 0 || mark == std::string::npos) {
            return makeFailure(FailureCode::InvalidSettings, "'" + text + "' should be COLUMN=VALUE");
        }
        assignments.push_back({text.substr(0, mark), text.substr(mark + 1)});
    }
    return assignments;
}

absl::StatusOr<TableKind> parseKind(const std::string &name)
{
    if (const std::optional<TableKind> kind = tableKindOfName(name)) {
        return *kind;
    }
    std::string names;
    for (TableKind kind : kTableKinds) {
        names += (names.empty() ? "" : ", ") + std::string(tableKindName(kind));
    }
    return makeFailure(FailureCode::InvalidSettings, "'" + name + "' should be one of " + names);
}

}
