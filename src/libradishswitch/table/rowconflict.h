#pragma once

#include "table/tablekind.h"

#include <absl/status/status.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace RadishSwitch
{

/// Two operators changed one row; this is what the later one is told.
struct RowConflict {
    TableKind kind = TableKind::Organisation;
    std::string row;
    /// Empty when the whole row is meant.
    std::string column;
    std::string yours;
    std::string theirs;
    /// The row version that the edit was made on, and the one in force; zero where there is no row.
    std::uint64_t expectedVersion = 0;
    std::uint64_t presentVersion = 0;
    /// Who made the change in force, from where and when; empty when its record could not be read.
    std::string winner;
    std::string fromWhere;
    std::int64_t wallClockMs = 0;

    auto operator<=>(const RowConflict &) const = default;
    bool operator==(const RowConflict &) const = default;

    std::string toString() const;
};

/// A RowConflict failure that carries the conflict.
absl::Status rowConflictFailure(const RowConflict &conflict);

/// The conflict that a failure carries, if it is one.
std::optional<RowConflict> rowConflictOf(const absl::Status &status);

}
