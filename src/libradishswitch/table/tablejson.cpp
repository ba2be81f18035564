#include "table/tablejson.h"

#include "table/tablecolumns.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace RadishSwitch
{

namespace
{

bool isList(CellType type)
{
    return type == CellType::ModelNames || type == CellType::KeyHashes || type == CellType::CallRules;
}

std::string_view separatorOf(CellType type)
{
    return type == CellType::CallRules ? "; " : " ";
}

nlohmann::json cellToJson(const TableColumn &column, const std::string &text)
{
    if (column.type == CellType::Integer) {
        return std::stoll(text);
    }
    if (column.type == CellType::Boolean) {
        return text == "yes";
    }
    if (isList(column.type)) {
        const std::string separator(separatorOf(column.type));
        return std::vector<std::string>(absl::StrSplit(text, separator, absl::SkipEmpty()));
    }
    return text;
}

RowChangeType changeTypeOf(const std::string &name)
{
    return name == "added" ? RowChangeType::Added : name == "removed" ? RowChangeType::Removed : RowChangeType::Changed;
}

RowChange rowChangeFromJson(const nlohmann::json &json)
{
    RowChange change;
    change.kind = tableKindOfName(json.at("kind").get<std::string>()).value_or(TableKind::Organisation);
    change.name = json.at("name");
    change.type = changeTypeOf(json.at("type"));
    for (const nlohmann::json &it : json.at("cells")) {
        change.cells.push_back({it.at(0), it.at(1), it.at(2)});
    }
    return change;
}

}

std::string_view listSeparator(TableKind kind, std::string_view column)
{
    const TableColumn *found = findColumn(kind, column);
    return found ? separatorOf(found->type) : " ";
}

nlohmann::json rowToJson(const TableRow &row)
{
    const TableRow blank = defaultRow(kindOf(row), nameOf(row));
    nlohmann::json json{{"name", nameOf(row)}, {"row_version", rowVersionOf(row)}};
    for (const TableColumn &column : columnsOf(kindOf(row))) {
        const std::string text = cellOf(row, column.name);
        if (text != cellOf(blank, column.name)) {
            json[std::string(column.name)] = cellToJson(column, text);
        }
    }
    return json;
}

std::optional<std::string> cellFromJson(const nlohmann::json &value, std::string_view separator)
{
    if (value.is_null()) {
        return std::string();
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_number_integer()) {
        return value.dump();
    }
    if (!value.is_array()) {
        return std::nullopt;
    }
    std::vector<std::string> items;
    for (const nlohmann::json &it : value) {
        if (!it.is_string()) {
            return std::nullopt;
        }
        items.push_back(it);
    }
    return absl::StrJoin(items, std::string(separator));
}

absl::StatusOr<TableRow> rowFromJson(TableKind kind, const nlohmann::json &json)
{
    TableRow row = defaultRow(kind, json.at("name").get<std::string>());
    row = withRowVersion(std::move(row), json.at("row_version").get<std::uint64_t>());
    for (const auto &[key, value] : json.items()) {
        const TableColumn *column = findColumn(kind, key);
        const std::optional<std::string> text = cellFromJson(value, column ? separatorOf(column->type) : " ");
        if (!column || !text) {
            continue;
        }
        const absl::Status status = setCell(row, key, *text);
        if (!status.ok()) {
            return status;
        }
    }
    return row;
}

nlohmann::json rowChangeToJson(const RowChange &change)
{
    nlohmann::json cells = nlohmann::json::array();
    for (const CellChange &cell : change.cells) {
        cells.push_back({cell.column, cell.before, cell.after});
    }
    return {{"kind", std::string(tableKindName(change.kind))},
            {"name", change.name},
            {"type", std::string(rowChangeTypeName(change.type))},
            {"cells", std::move(cells)}};
}

nlohmann::json recordToJson(const AuditRecord &record)
{
    nlohmann::json changes = nlohmann::json::array();
    for (const RowChange &change : record.changes) {
        changes.push_back(rowChangeToJson(change));
    }
    return {{"change_id", record.changeId},  {"revision", record.revision},
            {"when_ms", record.wallClockMs}, {"who", record.who},
            {"from", record.fromWhere},      {"why", record.why},
            {"changes", std::move(changes)}};
}

AuditRecord recordFromJson(const nlohmann::json &json)
{
    AuditRecord record;
    record.changeId = json.at("change_id");
    record.revision = json.at("revision");
    record.wallClockMs = json.at("when_ms");
    record.who = json.at("who");
    record.fromWhere = json.at("from");
    record.why = json.at("why");
    for (const nlohmann::json &it : json.at("changes")) {
        record.changes.push_back(rowChangeFromJson(it));
    }
    return record;
}

std::string dumpJson(const nlohmann::json &json, int indent)
{
    return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
