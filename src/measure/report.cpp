#include "report.h"

#include "base/failure.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::ordered_json;

constexpr char kOperations[] = "+-*/";

absl::Status invalid(const std::string &what)
{
    return makeFailure(FailureCode::InvalidRequest, what);
}

double applied(char operation, double left, double right)
{
    switch (operation) {
    case '+':
        return left + right;
    case '-':
        return left - right;
    case '*':
        return left * right;
    default:
        return left / right;
    }
}

void takeNumbers(Json &figures, const std::string &name, const Json &value)
{
    if (value.is_number()) {
        figures[name] = value;
    } else if (value.is_object()) {
        for (const auto &[key, inner] : value.items()) {
            takeNumbers(figures, name.empty() ? key : name + "_" + key, inner);
        }
    }
}

}

class Report::Private
{
public:
    Json figures = Json::object();
    Json picked = Json::object();
    Json broken = Json::array();
    Json missed = Json::array();
};

Report::Report()
    : d(std::make_unique<Private>())
{
}

Report::~Report() = default;

absl::Status Report::add(const std::string &json)
{
    const Json object = Json::parse(json, nullptr, false);
    if (!object.is_object()) {
        return invalid("no JSON object: " + json);
    }
    d->figures.update(object);
    return absl::OkStatus();
}

absl::Status Report::addNumbers(const std::string &prefix, const std::string &json)
{
    const Json object = Json::parse(json, nullptr, false);
    if (!object.is_object()) {
        return invalid("no JSON object: " + json);
    }
    takeNumbers(d->figures, prefix, object);
    return absl::OkStatus();
}

absl::Status Report::addFigure(const std::string &text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        return invalid("no NAME=VALUE: " + text);
    }
    const std::string name = text.substr(0, equals);
    const std::string value = text.substr(equals + 1);
    const Json json = Json::parse(value, nullptr, false);
    if (!json.is_discarded()) {
        d->figures[name] = json;
        return absl::OkStatus();
    }
    const auto result = workOut(value);
    if (!result.ok()) {
        return result.status();
    }
    d->figures[name] = std::isfinite(*result) ? Json(*result) : Json(nullptr);
    return absl::OkStatus();
}

absl::StatusOr<double> Report::workOut(const std::string &formula) const
{
    double result = 0;
    char operation = '+';
    std::size_t begin = 0;
    while (begin <= formula.size()) {
        const std::size_t end = std::min(formula.find_first_of(kOperations, begin), formula.size());
        const auto operand = valueOf(formula.substr(begin, end - begin));
        if (!operand.ok()) {
            return operand.status();
        }
        result = applied(operation, result, *operand);
        operation = end < formula.size() ? formula[end] : '+';
        begin = end + 1;
    }
    return result;
}

absl::Status Report::require(const std::string &condition)
{
    const auto isHeld = holds(condition);
    if (isHeld.ok() && !*isHeld) {
        d->broken.push_back(condition);
    }
    return isHeld.status();
}

absl::Status Report::aim(const std::string &condition)
{
    const auto isHeld = holds(condition);
    if (isHeld.ok() && !*isHeld) {
        d->missed.push_back(condition);
    }
    return isHeld.status();
}

absl::Status Report::pick(const std::string &name)
{
    const bool isPrefix = !name.empty() && name.back() == '*';
    const std::string wanted = isPrefix ? name.substr(0, name.size() - 1) : name;
    bool isFound = false;
    for (const auto &[key, value] : d->figures.items()) {
        if (key == wanted || (isPrefix && key.starts_with(wanted))) {
            d->picked[key] = value;
            isFound = true;
        }
    }
    return isFound ? absl::OkStatus() : invalid("no such figure: " + name);
}

bool Report::isBroken() const
{
    return !d->broken.empty();
}

std::string Report::toJson() const
{
    Json document = d->picked.empty() ? d->figures : d->picked;
    document["broken"] = d->broken;
    document["missed"] = d->missed;
    return document.dump();
}

absl::StatusOr<bool> Report::holds(const std::string &condition) const
{
    const std::vector<std::string> parts = absl::StrSplit(condition, ' ', absl::SkipEmpty());
    if (parts.size() != 3) {
        return invalid("no condition: " + condition);
    }
    if (isNull(parts[0]) || isNull(parts[2])) {
        return false;
    }
    const auto left = valueOf(parts[0]);
    const auto right = valueOf(parts[2]);
    if (!left.ok() || !right.ok()) {
        return left.ok() ? right.status() : left.status();
    }
    if (parts[1] == "==") {
        return *left == *right;
    }
    if (parts[1] == "<=") {
        return *left <= *right;
    }
    if (parts[1] == ">=") {
        return *left >= *right;
    }
    return invalid("no comparison: " + condition);
}

bool Report::isNull(const std::string &operand) const
{
    const auto it = d->figures.find(operand);
    return it != d->figures.end() && it->is_null();
}

absl::StatusOr<double> Report::valueOf(const std::string &operand) const
{
    double n = 0;
    if (absl::SimpleAtod(operand, &n)) {
        return n;
    }
    const auto it = d->figures.find(operand);
    if (it == d->figures.end() || !it->is_number()) {
        return invalid("no such figure: " + operand);
    }
    return it->get<double>();
}

}
