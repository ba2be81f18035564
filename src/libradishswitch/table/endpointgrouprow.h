#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// The weight of an endpoint that no group names, in percent.
inline constexpr std::int64_t kFullWeightPercent = 100;

/// The endpoints of one pool in one availability zone, so that work can be moved away from a place.
struct EndpointGroupRow {
    std::string name = {};
    PoolId pool = {};
    std::string zone = {};
    /// Zero sends the group no new work.
    std::int64_t weightPercent = kFullWeightPercent;
    std::string note = {};
    /// The revision that last changed the row.
    std::uint64_t rowVersion = 0;

    auto operator<=>(const EndpointGroupRow &) const = default;
    bool operator==(const EndpointGroupRow &) const = default;
};

}
