#include "table/tableproblem.h"

#include "base/failure.h"

#include <absl/strings/cord.h>
#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr char kProblemsPayload[] = "radishswitch/table-problems";
/// A file of rubbish has as many problems as lines; the first ones tell enough.
constexpr std::size_t kMaximumProblems = 100;
constexpr std::size_t kShownValueBytes = 60;

/// JSON may hold UTF-8 only, while a cell of a hostile file may hold anything.
std::string dumped(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json toJson(const TableProblem &problem)
{
    return {
        {"line", problem.line},   {"kind", problem.kind ? std::string(tableKindName(*problem.kind)) : std::string()},
        {"row", problem.row},     {"column", problem.column},
        {"value", problem.value}, {"expected", problem.expected}};
}

TableProblem fromJson(const nlohmann::json &json)
{
    return TableProblem{.line = json.at("line"),
                        .kind = tableKindOfName(json.at("kind").get<std::string>()),
                        .row = json.at("row"),
                        .column = json.at("column"),
                        .value = json.at("value"),
                        .expected = json.at("expected")};
}

}

std::string TableProblem::toString() const
{
    std::vector<std::string> places;
    if (line > 0) {
        places.push_back("line " + std::to_string(line));
    }
    if (kind) {
        places.push_back(std::string(tableKindName(*kind)) + " \"" + row + "\"");
    }
    if (!column.empty()) {
        places.push_back("column " + column);
    }
    std::string text;
    for (const std::string &place : places) {
        text += (text.empty() ? "" : ", ") + place;
    }
    const std::string shown = value.size() > kShownValueBytes ? value.substr(0, kShownValueBytes) + "..." : value;
    return text + (text.empty() ? "" : ": ") + "\"" + shown + "\" should be " + expected;
}

absl::Status tableInvalid(const std::vector<TableProblem> &problems)
{
    nlohmann::json list = nlohmann::json::array();
    std::string text = std::to_string(problems.size()) + (problems.size() == 1 ? " problem" : " problems");
    for (std::size_t n = 0; n < std::min(problems.size(), kMaximumProblems); ++n) {
        list.push_back(toJson(problems[n]));
        text += '\n';
        text += problems[n].toString();
    }
    absl::Status status = makeFailure(FailureCode::TableInvalid, text);
    status.SetPayload(kProblemsPayload, absl::Cord(dumped(list)));
    return status;
}

std::vector<TableProblem> tableProblemsOf(const absl::Status &status)
{
    std::vector<TableProblem> problems;
    const auto payload = status.GetPayload(kProblemsPayload);
    if (!payload) {
        return problems;
    }
    for (const nlohmann::json &it : nlohmann::json::parse(std::string(*payload))) {
        problems.push_back(fromJson(it));
    }
    return problems;
}

}
