#include "table/tabledeclaration.h"

#include "table/tablecolumns.h"
#include "table/tablejson.h"
#include "table/tableproblem.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <map>

namespace RadishSwitch
{

namespace
{

TableProblem rowProblem(const DeclaredRow &row, const std::string &column, const std::string &value,
                        const std::string &expected)
{
    TableProblem problem;
    problem.line = row.line;
    problem.kind = row.kind;
    problem.row = row.name;
    problem.column = column;
    problem.value = value;
    problem.expected = expected;
    return problem;
}

/// Problems with names that stand more than once.
std::vector<TableProblem> repeatedNames(const std::vector<DeclaredRow> &rows)
{
    std::vector<TableProblem> problems;
    std::map<std::string, std::size_t> lines;
    for (const DeclaredRow &row : rows) {
        const std::string name = absl::StrCat(std::string(tableKindName(row.kind)), " ", row.name);
        const auto [it, isNew] = lines.emplace(name, row.line);
        if (!isNew) {
            const std::string where = it->second > 0 ? absl::StrCat(" on line ", it->second) : "";
            problems.push_back(rowProblem(row, "name", row.name, absl::StrCat("there once; it stands", where, " too")));
        }
    }
    return problems;
}

absl::Status invalidFile(const std::string &value, const std::string &expected)
{
    TableProblem problem;
    problem.value = value;
    problem.expected = expected;
    return tableInvalid({problem});
}

/// Reads a file's list and notes every problem on the way.
class TableJsonReader
{
public:
    explicit TableJsonReader(TableKind kind)
        : m_kind(kind)
    {
        m_declaration.kinds.push_back(kind);
    }

    absl::StatusOr<TableDeclaration> read(const nlohmann::json &json)
    {
        if (!json.is_array()) {
            return invalidFile(json.type_name(), "a list of objects, one a row");
        }
        for (const nlohmann::json &it : json) {
            readRow(it);
        }
        return checkedDeclaration(std::move(m_declaration), std::move(m_problems));
    }

private:
    void readRow(const nlohmann::json &json)
    {
        DeclaredRow row;
        row.kind = m_kind;
        const bool hasName = json.is_object() && json.contains("name") && json["name"].is_string();
        row.name = hasName ? json["name"].get<std::string>() : "";
        if (!isRowName(row.name)) {
            m_problems.push_back(rowProblem(row, "name", row.name, std::string(kRowNameExpected)));
            return;
        }
        for (const auto &[column, value] : json.items()) {
            if (column != "name") {
                readCell(row, column, value);
            }
        }
        m_declaration.rows.push_back(std::move(row));
    }

    void readCell(DeclaredRow &row, const std::string &column, const nlohmann::json &value)
    {
        if (column == "row_version" && value.is_number_unsigned()) {
            row.rowVersion = value;
            return;
        }
        const std::optional<std::string> text = cellFromJson(value, listSeparator(row.kind, column));
        if (!text) {
            m_problems.push_back(rowProblem(row, column, dumpJson(value),
                                            "a text, a whole number, true, false, null or "
                                            "a list of texts"));
            return;
        }
        TableRow scratch = defaultRow(row.kind, row.name);
        const absl::Status status = setCell(scratch, column, *text);
        if (!status.ok()) {
            const std::vector<TableProblem> found = tableProblemsOf(status);
            m_problems.insert(m_problems.end(), found.begin(), found.end());
            return;
        }
        row.cells.push_back({column, *text});
    }

    TableKind m_kind;
    TableDeclaration m_declaration;
    std::vector<TableProblem> m_problems;
};

}

std::string fingerprintOf(const TableRow &row)
{
    std::string cells;
    for (const TableColumn &column : columnsOf(kindOf(row))) {
        cells += cellOf(row, column.name) + '\n';
    }
    char buf[9];
    std::snprintf(buf, sizeof buf, "%08x", static_cast<unsigned>(XXH3_64bits(cells.data(), cells.size())));
    return buf;
}

absl::StatusOr<TableDeclaration> checkedDeclaration(TableDeclaration declaration, std::vector<TableProblem> problems)
{
    const std::vector<TableProblem> repeated = repeatedNames(declaration.rows);
    problems.insert(problems.end(), repeated.begin(), repeated.end());
    if (!problems.empty()) {
        return tableInvalid(problems);
    }
    return declaration;
}

absl::StatusOr<TableDeclaration> TableDeclaration::merged(TableDeclaration left, const TableDeclaration &right)
{
    left.rows.insert(left.rows.end(), right.rows.begin(), right.rows.end());
    for (TableKind kind : right.kinds) {
        if (std::find(left.kinds.begin(), left.kinds.end(), kind) == left.kinds.end()) {
            left.kinds.push_back(kind);
        }
    }
    return checkedDeclaration(std::move(left), {});
}

absl::StatusOr<TableDeclaration> readTableJson(std::string_view text, TableKind kind)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        return invalidFile(std::string(text.substr(0, 40)), "JSON; the file may be cut short");
    }
    return TableJsonReader(kind).read(json);
}

std::string writeTableJson(const TableRows &rows, TableKind kind)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const TableRow &row : rows.rowsOf(kind)) {
        const nlohmann::json json = rowToJson(row);
        nlohmann::ordered_json ordered{{"name", nameOf(row)}};
        for (const auto &[key, value] : json.items()) {
            if (key != "name" && key != "row_version") {
                ordered[key] = value;
            }
        }
        list.push_back(std::move(ordered));
    }
    return list.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}
