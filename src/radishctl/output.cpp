#include "output.h"

#include "base/failure.h"
#include "table/rowconflict.h"
#include "table/tableeditor.h"
#include "table/tablejson.h"
#include "table/tableproblem.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr int kIndent = 2;

std::string shown(const nlohmann::json &cell)
{
    if (cell.is_null()) {
        return "-";
    }
    const std::string text = cell.is_string() ? cell.get<std::string>() : dumpJson(cell);
    return text.empty() ? "-" : text;
}

std::vector<std::size_t> widthsOf(const Sheet &sheet)
{
    std::vector<std::size_t> widths;
    for (std::size_t n = 0; n < sheet.header.size(); ++n) {
        widths.push_back(sheet.header[n].size());
        for (const auto &row : sheet.rows) {
            widths[n] = std::max(widths[n], shown(row[n]).size());
        }
    }
    return widths;
}

std::string lineOf(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t n = 0; n < cells.size(); ++n) {
        const bool isLast = n + 1 == cells.size();
        line += cells[n] + std::string(isLast ? 0 : widths[n] - cells[n].size() + 2, ' ');
    }
    return line + "\n";
}

nlohmann::json problemToJson(const TableProblem &problem)
{
    return {
        {"line", problem.line},   {"kind", problem.kind ? std::string(tableKindName(*problem.kind)) : std::string()},
        {"row", problem.row},     {"column", problem.column},
        {"value", problem.value}, {"expected", problem.expected}};
}

nlohmann::json conflictToJson(const RowConflict &conflict)
{
    return {{"kind", std::string(tableKindName(conflict.kind))},
            {"row", conflict.row},
            {"column", conflict.column},
            {"yours", conflict.yours},
            {"theirs", conflict.theirs},
            {"winner", conflict.winner},
            {"from", conflict.fromWhere},
            {"when_ms", conflict.wallClockMs},
            {"revision", conflict.presentVersion}};
}

nlohmann::json failureToJson(const absl::Status &status)
{
    nlohmann::json json{{"code", std::string(failureName(failureCode(status)))},
                        {"message", std::string(status.message())},
                        {"outcome", outcomeOf(status) == RunOutcome::Unknown ? "unknown" : "not_done"}};
    if (const std::string changeId = changeIdOf(status); !changeId.empty()) {
        json["change_id"] = changeId;
    }
    for (const TableProblem &problem : tableProblemsOf(status)) {
        json["problems"].push_back(problemToJson(problem));
    }
    if (const std::optional<RowConflict> conflict = rowConflictOf(status)) {
        json["conflict"] = conflictToJson(*conflict);
    }
    return {{"error", std::move(json)}};
}

}

Output::Output(std::ostream &out, std::ostream &err, OutputFormat format)
    : m_out(out)
    , m_err(err)
    , m_format(format)
{
}

bool Output::isJson() const
{
    return m_format == OutputFormat::Json;
}

void Output::print(const Sheet &sheet)
{
    if (isJson()) {
        m_out << dumpJson(toJson(sheet), kIndent) << "\n";
        return;
    }
    const std::vector<std::size_t> widths = widthsOf(sheet);
    std::vector<std::string> cells;
    for (const std::string &name : sheet.header) {
        cells.push_back(absl::AsciiStrToUpper(name));
    }
    m_out << lineOf(cells, widths);
    for (const auto &row : sheet.rows) {
        cells.clear();
        std::transform(row.begin(), row.end(), std::back_inserter(cells), shown);
        m_out << lineOf(cells, widths);
    }
}

void Output::print(const nlohmann::json &json, const std::string &text)
{
    m_out << (isJson() ? dumpJson(json, kIndent) : text) << "\n";
}

void Output::printHeading(const std::string &text)
{
    if (!isJson()) {
        m_out << text << "\n";
    }
}

void Output::printFailure(const absl::Status &status)
{
    if (isJson()) {
        m_err << dumpJson(failureToJson(status), kIndent) << "\n";
        return;
    }
    m_err << failureName(failureCode(status)) << ": " << status.message() << "\n";
}

void Output::printRaw(const std::string &text)
{
    m_out << text;
}

nlohmann::json toJson(const Sheet &sheet)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &row : sheet.rows) {
        nlohmann::json object = nlohmann::json::object();
        for (std::size_t n = 0; n < sheet.header.size(); ++n) {
            object[sheet.header[n]] = row[n];
        }
        list.push_back(std::move(object));
    }
    return list;
}

}
