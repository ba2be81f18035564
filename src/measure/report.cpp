#include "report.h"

#include "failure.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::ordered_json;

absl::Status invalid(const std::string &what)
{
    return makeFailure(FailureCode::InvalidRequest, what);
}

}

class Report::Private
{
public:
    Json figures = Json::object();
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
    const auto place = value.find_first_of("-/");
    if (place == std::string::npos) {
        return invalid("neither JSON nor a sum: " + text);
    }
    const auto left = valueOf(value.substr(0, place));
    const auto right = valueOf(value.substr(place + 1));
    if (!left.ok() || !right.ok()) {
        return left.ok() ? right.status() : left.status();
    }
    const bool isDifference = value[place] == '-';
    if (!isDifference && *right == 0) {
        d->figures[name] = nullptr;
        return absl::OkStatus();
    }
    d->figures[name] = isDifference ? *left - *right : *left / *right;
    return absl::OkStatus();
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

bool Report::isBroken() const
{
    return !d->broken.empty();
}

std::string Report::toJson() const
{
    Json document = d->figures;
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
