#include "tablefileverbs.h"

#include "base/failure.h"
#include "declarationfiles.h"
#include "table/tablecsv.h"
#include "table/tablejson.h"

#include <absl/strings/str_cat.h>
#include <CLI/CLI.hpp>

#include <filesystem>

namespace RadishSwitch
{

namespace
{

constexpr char kKindHelp[] = "Only rows of this kind: organisation, pool, route or endpoint_group";
constexpr char kPathHelp[] = "A .csv file, a .json file of one kind, or a folder with one file a kind";
constexpr char kPruneHelp[] = "Also remove rows of the declared kinds that no file declares";

}

void TableFileVerbs::addTo(CLI::App &parent, Command &chosen)
{
    CLI::App *exporting = addVerb(parent, "export", "Write the table as CSV for a spreadsheet, or as a folder of files",
                                  "  radishctl table export > table.csv\n"
                                  "  radishctl table export --kind organisation > organisations.csv\n"
                                  "  radishctl table export --folder declarations/",
                                  chosen, [this](CommandContext &context) {
                                      return exportTable(context);
                                  });
    exporting->add_option("-k,--kind", m_kind, kKindHelp);
    exporting->add_option("-f,--folder", m_folder, "Write one .json file a kind into this folder");

    CLI::App *planning =
        addVerb(parent, "plan", "Show what `apply` would change; exit code 3 if it would change something",
                "  radishctl table plan table.csv\n"
                "  radishctl table plan declarations/ --prune",
                chosen, [this](CommandContext &context) {
                    return plan(context);
                });
    planning->add_option("path", m_path, kPathHelp)->required();
    planning->add_option("-k,--kind", m_kind, kKindHelp);
    planning->add_flag("--prune", m_prunes, kPruneHelp);

    CLI::App *applying =
        addVerb(parent, "apply", "Make the table as declared, all of it or nothing; again changes nothing",
                "  radishctl table apply table.csv --reason \"Saturday peak\"\n"
                "  radishctl table apply declarations/ --prune --on-revision 41",
                chosen, [this](CommandContext &context) {
                    return apply(context);
                });
    applying->add_option("path", m_path, kPathHelp)->required();
    applying->add_option("-k,--kind", m_kind, kKindHelp);
    applying->add_flag("--prune", m_prunes, kPruneHelp);
    m_edit.addTo(*applying);
}

absl::StatusOr<std::optional<TableKind>> TableFileVerbs::kind() const
{
    if (m_kind.empty()) {
        return std::optional<TableKind>();
    }
    const absl::StatusOr<TableKind> kind = parseKind(m_kind);
    if (!kind.ok()) {
        return kind.status();
    }
    return std::optional<TableKind>(*kind);
}

ExitCode TableFileVerbs::exportTable(CommandContext &context) const
{
    const absl::StatusOr<std::optional<TableKind>> wanted = kind();
    if (!wanted.ok()) {
        return context.fail(wanted.status());
    }
    const absl::StatusOr<TableDocument> document = context.readTable();
    if (!document.ok()) {
        return context.fail(document.status());
    }
    if (!m_folder.empty()) {
        return exportFolder(context, document->rows);
    }
    if (!context.output().isJson()) {
        context.output().printRaw(writeTableCsv(document->rows, *wanted));
        return ExitCode::Ok;
    }
    nlohmann::json json{{"revision", document->revision}};
    for (TableKind it : kTableKinds) {
        if (*wanted && it != **wanted) {
            continue;
        }
        json[declarationFileName(it)] = nlohmann::json::array();
        for (const TableRow &row : document->rows.rowsOf(it)) {
            json[declarationFileName(it)].push_back(rowToJson(row));
        }
    }
    context.output().print(json, "");
    return ExitCode::Ok;
}

ExitCode TableFileVerbs::exportFolder(CommandContext &context, const TableRows &rows) const
{
    std::error_code ec;
    std::filesystem::create_directories(m_folder, ec);
    nlohmann::json written = nlohmann::json::array();
    std::string text;
    for (TableKind it : kTableKinds) {
        const std::string path = (std::filesystem::path(m_folder) / (declarationFileName(it) + ".json")).string();
        const absl::Status status = writeFile(path, writeTableJson(rows, it));
        if (!status.ok()) {
            return context.fail(status);
        }
        written.push_back(path);
        text += (text.empty() ? "wrote " : ", ") + path;
    }
    context.output().print({{"written", written}}, text);
    return ExitCode::Ok;
}

absl::StatusOr<TableFileVerbs::Planned> TableFileVerbs::makePlan(CommandContext &context) const
{
    const absl::StatusOr<std::optional<TableKind>> wanted = kind();
    if (!wanted.ok()) {
        return wanted.status();
    }
    const absl::StatusOr<TableDeclaration> declaration = readDeclaration(m_path, *wanted);
    if (!declaration.ok()) {
        return declaration.status();
    }
    const absl::StatusOr<TableDocument> document = context.readTable();
    if (!document.ok()) {
        return document.status();
    }
    absl::StatusOr<TablePlan> plan = planTable(document->rows, *declaration, m_prunes);
    if (!plan.ok()) {
        return plan.status();
    }
    return Planned{document->revision, *std::move(plan)};
}

ExitCode TableFileVerbs::plan(CommandContext &context) const
{
    const absl::StatusOr<Planned> planned = makePlan(context);
    if (!planned.ok()) {
        return context.fail(planned.status());
    }
    nlohmann::json changes = nlohmann::json::array();
    std::string text = absl::StrCat("against revision ", planned->revision, ": ");
    absl::StrAppend(&text, planned->plan.isEmpty() ? "nothing to change" : "would change");
    for (const RowChange &change : planned->plan.differences) {
        changes.push_back(rowChangeToJson(change));
        absl::StrAppend(&text, "\n  ", change.toString());
    }
    for (const std::string &row : planned->plan.undeclared) {
        absl::StrAppend(&text, "\n  not declared", m_prunes ? "" : ", kept", ": ", row);
    }
    context.output().print(
        {{"revision", planned->revision}, {"changes", changes}, {"undeclared", planned->plan.undeclared}}, text);
    return planned->plan.isEmpty() ? ExitCode::Ok : ExitCode::PlanHasChanges;
}

ExitCode TableFileVerbs::apply(CommandContext &context) const
{
    const absl::StatusOr<Planned> planned = makePlan(context);
    if (!planned.ok()) {
        return context.fail(planned.status());
    }
    return runEdit(context, m_edit, planned->plan.changes);
}

}
