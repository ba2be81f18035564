#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The last line of a scenario: figures gathered from several JSON objects, and what they had to fulfil.
class Report
{
public:
    Report();
    ~Report();

    /// Takes the figures of a JSON object in; a later one of the same name replaces an earlier one.
    absl::Status add(const std::string &json);

    /// Takes in all numbers of a JSON object, those of inner objects too, under their names joined by "_" and with
    /// `prefix` in front.
    absl::Status addNumbers(const std::string &prefix, const std::string &json);

    /// Takes in "NAME=VALUE", where the value is JSON, or "NAME=A+B-C*D/E" of known figures and numbers, worked out
    /// from left to right without precedence. What is divided by zero is null, and no condition on it holds.
    absl::Status addFigure(const std::string &text);

    /// A promise: "NAME OP NAME-or-number" with ==, <= or >=. What does not hold is listed under "broken".
    /// InvalidRequest when a name is unknown, since a figure that was not measured proves nothing.
    absl::Status require(const std::string &condition);

    /// A goal, which is listed under "missed" when it was not reached.
    absl::Status aim(const std::string &condition);

    /// Only figures that are picked are printed, as soon as one is. A name that ends with "*" stands for all that begin
    /// so. InvalidRequest when there is none.
    absl::Status pick(const std::string &name);

    bool isBroken() const;

    std::string toJson() const;

private:
    absl::StatusOr<bool> holds(const std::string &condition) const;
    absl::StatusOr<double> workOut(const std::string &formula) const;
    bool isNull(const std::string &operand) const;
    absl::StatusOr<double> valueOf(const std::string &operand) const;

    class Private;
    std::unique_ptr<Private> d;
};

}
