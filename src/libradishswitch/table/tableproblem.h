#pragma once

#include "table/tablekind.h"

#include <absl/status/status.h>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// One thing wrong with a table or with a file that holds one.
struct TableProblem {
    /// Line of the file, from 1; zero where there is no file.
    std::size_t line = 0;
    /// Missing where the problem is not one row's.
    std::optional<TableKind> kind = {};
    std::string row = {};
    std::string column = {};
    /// What stands there, shortened.
    std::string value = {};
    /// What would be right.
    std::string expected = {};

    auto operator<=>(const TableProblem &) const = default;
    bool operator==(const TableProblem &) const = default;

    /// One line for people, such as `line 3, organisation "acme", column share: "ten" is not a whole number from 1 to
    /// 10000`.
    std::string toString() const;
};

/// A TableInvalid failure that carries its problems.
absl::Status tableInvalid(const std::vector<TableProblem> &problems);

/// The problems that a failure carries; none when it is of another kind.
std::vector<TableProblem> tableProblemsOf(const absl::Status &status);

}
