#include "rowverbs.h"

#include "apikey.h"
#include "base/apikeyhash.h"
#include "base/failure.h"
#include "table/tablecolumns.h"
#include "table/tablejson.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/strip.h>
#include <CLI/CLI.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr char kKeysColumn[] = "keys";
constexpr char kHashPrefix[] = "sha256:";

std::string keysCell(const std::vector<std::string> &hashes)
{
    return absl::StrJoin(hashes, " ", [](std::string *out, const std::string &hash) {
        *out += kHashPrefix + hash;
    });
}

/// Sets cells on a row; TableInvalid as `setCell`.
absl::Status assign(TableRow &row, const std::vector<Assignment> &assignments)
{
    for (const Assignment &it : assignments) {
        const absl::Status status = setCell(row, it.column, it.text);
        if (!status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

constexpr char kCellsHelp[] = "Cells as COLUMN=VALUE; `radishctl table columns` lists the columns";
constexpr char kVersionHelp[] = "Refuse the edit when the row has another version";

bool tellsOfKey(const AuditRecord &record, const std::string &hash)
{
    for (const RowChange &change : record.changes) {
        for (const CellChange &cell : change.cells) {
            if (cell.column == kKeysColumn && cell.after.find(hash) != std::string::npos) {
                return true;
            }
        }
    }
    return false;
}

}

RowVerbs::RowVerbs(TableKind kind, std::string command, std::string description, std::string exampleName,
                   std::string exampleCells)
    : m_kind(kind)
    , m_command(std::move(command))
    , m_description(std::move(description))
    , m_exampleName(std::move(exampleName))
    , m_exampleCells(std::move(exampleCells))
{
}

void RowVerbs::addTo(CLI::App &parent, Command &chosen)
{
    CLI::App *group = parent.add_subcommand(m_command, m_description);
    group->require_subcommand(1);
    addListVerb(*group, "list", chosen);
    addShowVerb(*group, "show", chosen);
    addCreateVerb(*group, "create", chosen);
    addSetVerb(*group, "set", chosen);
    addRemoveVerb(*group, "remove", chosen);
    if (m_kind == TableKind::Organisation) {
        addKeyVerbs(*group, chosen);
    }
}

std::string RowVerbs::exampleCall(const std::string &verb) const
{
    return absl::StrCat("  radishctl ", m_command, " ", verb, " ", m_exampleName, " ");
}

void RowVerbs::addListVerb(CLI::App &parent, const std::string &name, Command &chosen)
{
    addVerb(parent, name, "List the rows", "  radishctl " + m_command + " list --output json", chosen,
            [this](CommandContext &context) {
                return list(context);
            });
}

void RowVerbs::addShowVerb(CLI::App &parent, const std::string &name, Command &chosen)
{
    CLI::App *verb = addVerb(parent, name, "Show one row with every cell", exampleCall("show"), chosen,
                             [this](CommandContext &context) {
                                 return show(context);
                             });
    verb->add_option("name", m_name, "The row's name")->required();
}

void RowVerbs::addCreateVerb(CLI::App &parent, const std::string &name, Command &chosen)
{
    CLI::App *verb = addVerb(parent, name, "Add a row", exampleCall("create") + m_exampleCells, chosen,
                             [this](CommandContext &context) {
                                 return create(context);
                             });
    verb->add_option("name", m_name, "The new row's name")->required();
    verb->add_option("cells", m_assignments, kCellsHelp);
    if (m_kind == TableKind::Organisation) {
        verb->add_flag("--no-key", m_hasNoKey, "Make no API key");
    }
    m_edit.addTo(*verb);
}

void RowVerbs::addSetVerb(CLI::App &parent, const std::string &name, Command &chosen)
{
    CLI::App *verb =
        addVerb(parent, name, "Set cells of a row", exampleCall("set") + m_exampleCells + " --reason \"Saturday peak\"",
                chosen, [this](CommandContext &context) {
                    return set(context);
                });
    verb->add_option("name", m_name, "The row's name")->required();
    verb->add_option("cells", m_assignments, kCellsHelp)->required();
    verb->add_option("--row-version", m_rowVersion, kVersionHelp);
    m_edit.addTo(*verb);
}

void RowVerbs::addRemoveVerb(CLI::App &parent, const std::string &name, Command &chosen)
{
    CLI::App *verb =
        addVerb(parent, name, "Remove a row", exampleCall("remove"), chosen, [this](CommandContext &context) {
            return remove(context);
        });
    verb->add_option("name", m_name, "The row's name")->required();
    verb->add_option("--row-version", m_rowVersion, kVersionHelp);
    m_edit.addTo(*verb);
}

void RowVerbs::addKeyVerbs(CLI::App &group, Command &chosen)
{
    CLI::App *adding = addVerb(group, "add-key", "Make one more API key and print it this once",
                               "  radishctl org add-key " + m_exampleName, chosen, [this](CommandContext &context) {
                                   return addKey(context);
                               });
    adding->add_option("name", m_name, "The organisation")->required();
    m_edit.addTo(*adding);
    CLI::App *removing = addVerb(group, "remove-key", "Make an API key unknown",
                                 "  radishctl org remove-key " + m_exampleName + " sha256:9f86d081...", chosen,
                                 [this](CommandContext &context) {
                                     return removeKey(context);
                                 });
    removing->add_option("name", m_name, "The organisation")->required();
    removing->add_option("hash", m_keyHash, "The key's hash as `org show` gives it, or its beginning")->required();
    m_edit.addTo(*removing);
}

ExitCode RowVerbs::create(CommandContext &context) const
{
    const absl::StatusOr<std::vector<Assignment>> assignments = parseAssignments(m_assignments);
    if (!assignments.ok()) {
        return context.fail(assignments.status());
    }
    TableRow row = defaultRow(m_kind, m_name);
    const absl::Status status = assign(row, *assignments);
    if (!status.ok()) {
        return context.fail(status);
    }
    auto *organisation = std::get_if<OrganisationRow>(&row);
    if (!organisation || m_hasNoKey) {
        return runEdit(context, m_edit, {std::make_shared<AddRowChange>(row)});
    }
    const absl::StatusOr<std::string> key = makeApiKey();
    if (!key.ok()) {
        return context.fail(key.status());
    }
    organisation->keySha256.push_back(apiKeyHash(*key));
    return runEditWithKey(context, std::make_shared<AddRowChange>(row), *key);
}

ExitCode RowVerbs::list(CommandContext &context) const
{
    const absl::StatusOr<TableDocument> document = context.readTable();
    if (!document.ok()) {
        return context.fail(document.status());
    }
    Sheet sheet{{"name", "row_version"}, {}};
    for (const TableColumn &column : columnsOf(m_kind)) {
        if (column.type != CellType::KeyHashes) {
            sheet.header.emplace_back(column.name);
        }
    }
    for (const TableRow &row : document->rows.rowsOf(m_kind)) {
        std::vector<nlohmann::json> cells{nameOf(row), rowVersionOf(row)};
        for (std::size_t n = cells.size(); n < sheet.header.size(); ++n) {
            cells.emplace_back(cellOf(row, sheet.header[n]));
        }
        sheet.rows.push_back(std::move(cells));
    }
    context.output().print(sheet);
    return ExitCode::Ok;
}

absl::StatusOr<TableRow> RowVerbs::presentRow(CommandContext &context) const
{
    const absl::StatusOr<TableDocument> document = context.readTable();
    if (!document.ok()) {
        return document.status();
    }
    const std::optional<TableRow> row = document->rows.find(m_kind, m_name);
    if (!row) {
        return makeFailure(FailureCode::RowMissing,
                           absl::StrCat("there is no ", std::string(tableKindName(m_kind)), " \"", m_name, "\""));
    }
    return *row;
}

ExitCode RowVerbs::show(CommandContext &context) const
{
    const absl::StatusOr<TableRow> row = presentRow(context);
    if (!row.ok()) {
        return context.fail(row.status());
    }
    nlohmann::json json{{"name", m_name}, {"row_version", rowVersionOf(*row)}};
    std::string text = absl::StrCat("name: ", m_name, "\nrow_version: ", rowVersionOf(*row));
    for (const TableColumn &column : columnsOf(m_kind)) {
        const std::string cell = cellOf(*row, column.name);
        json[std::string(column.name)] = cell;
        absl::StrAppend(&text, "\n", std::string(column.name), ": ", cell);
    }
    context.output().print(json, text);
    return ExitCode::Ok;
}

/// The edit is bound to the row as it was read here. An operator who sets one cell of a row that another changes at the
/// same moment learns of it; one who runs the verb again, having seen the other's value, gets through.
ExitCode RowVerbs::set(CommandContext &context) const
{
    const absl::StatusOr<std::vector<Assignment>> assignments = parseAssignments(m_assignments);
    if (!assignments.ok()) {
        return context.fail(assignments.status());
    }
    const absl::StatusOr<TableRow> row = presentRow(context);
    if (!row.ok()) {
        return context.fail(row.status());
    }
    const std::uint64_t version = m_rowVersion != 0 ? m_rowVersion : rowVersionOf(*row);
    std::vector<TableChangePointer> changes;
    for (const Assignment &it : *assignments) {
        changes.push_back(std::make_shared<SetCellChange>(m_kind, m_name, it.column, it.text, version));
    }
    return runEdit(context, m_edit, std::move(changes));
}

ExitCode RowVerbs::remove(CommandContext &context) const
{
    const absl::StatusOr<TableRow> row = presentRow(context);
    if (!row.ok()) {
        return context.fail(row.status());
    }
    const std::uint64_t version = m_rowVersion != 0 ? m_rowVersion : rowVersionOf(*row);
    return runEdit(context, m_edit, {std::make_shared<RemoveRowChange>(m_kind, m_name, version)});
}

ExitCode RowVerbs::addKey(CommandContext &context) const
{
    const absl::StatusOr<TableRow> row = presentRow(context);
    if (!row.ok()) {
        return context.fail(row.status());
    }
    const absl::StatusOr<std::string> key = makeApiKey();
    if (!key.ok()) {
        return context.fail(key.status());
    }
    std::vector<std::string> keys = std::get<OrganisationRow>(*row).keySha256;
    keys.push_back(apiKeyHash(*key));
    return setKeys(context, *row, keys, *key);
}

ExitCode RowVerbs::removeKey(CommandContext &context) const
{
    const absl::StatusOr<TableRow> row = presentRow(context);
    if (!row.ok()) {
        return context.fail(row.status());
    }
    const std::string wanted(absl::StripPrefix(m_keyHash, kHashPrefix));
    std::vector<std::string> keys = std::get<OrganisationRow>(*row).keySha256;
    const std::size_t n = std::count_if(keys.begin(), keys.end(), [&wanted](const std::string &hash) {
        return hash.starts_with(wanted);
    });
    if (n != 1 || wanted.empty()) {
        return context.fail(makeFailure(FailureCode::RowMissing,
                                        absl::StrCat(n, " keys of \"", m_name, "\" have a hash that begins so")));
    }
    std::erase_if(keys, [&wanted](const std::string &hash) {
        return hash.starts_with(wanted);
    });
    return setKeys(context, *row, keys, "");
}

ExitCode RowVerbs::setKeys(CommandContext &context, const TableRow &row, const std::vector<std::string> &keys,
                           const std::string &freshKey) const
{
    const auto change = std::make_shared<SetCellChange>(m_kind, m_name, kKeysColumn, keysCell(keys), rowVersionOf(row));
    if (freshKey.empty()) {
        return runEdit(context, m_edit, {change});
    }
    return runEditWithKey(context, change, freshKey);
}

/// The key is shown only if this edit, and not an earlier one under the same change id, is in the table. After an edit
/// of unknown outcome it is shown too, since nobody could find it out later.
ExitCode RowVerbs::runEditWithKey(CommandContext &context, const TableChangePointer &change,
                                  const std::string &key) const
{
    const absl::StatusOr<AuditRecord> record = submitEdit(context, m_edit, {change});
    if (!record.ok()) {
        if (outcomeOf(record.status()) == RunOutcome::Unknown) {
            context.output().print({{"api_key", key}}, "api key, if the edit is in: " + key);
        }
        return context.fail(record.status());
    }
    if (!tellsOfKey(*record, apiKeyHash(key))) {
        printAccepted(context, *record);
        return ExitCode::Ok;
    }
    nlohmann::json json = recordToJson(*record);
    json["api_key"] = key;
    context.output().print(json,
                           absl::StrCat("accepted as revision ", record->revision, "\napi key: ", key,
                                        "\nIt is shown this once; the table keeps its hash alone."));
    return ExitCode::Ok;
}

}
