#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// What the table says of one organisation. tablecolumns.cpp gives each member's range and meaning.
struct OrganisationRow {
    OrganisationId name = {};
    /// A disabled organisation's keys are unknown to the fleet.
    bool isEnabled = true;
    /// SHA-256 of each API key, 64 lower-case hexadecimal digits.
    std::vector<std::string> keySha256 = {};
    /// The budget that a request draws on when it names none.
    std::string defaultBudget = "main";
    /// Relative to the shares of the other organisations that wait at the same pool.
    std::int64_t share = 100;
    /// Zero stands for no ceiling, in all three.
    std::int64_t ceilingRequestsPerSecond = 0;
    std::int64_t ceilingTokensPerSecond = 0;
    std::int64_t ceilingConcurrent = 0;
    /// Higher goes first.
    std::int64_t priority = 5;
    std::string note = {};
    /// The revision that last changed the row.
    std::uint64_t rowVersion = 0;

    auto operator<=>(const OrganisationRow &) const = default;
    bool operator==(const OrganisationRow &) const = default;
};

}
