#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// The organisation of a route that serves every organisation without routes of its own for the same target.
inline constexpr char kAnyOrganisation[] = "*";

/// One rule that leads an organisation's requests for a model or a service to a pool.
struct RouteRow {
    std::string name = {};
    OrganisationId organisation{kAnyOrganisation};
    /// A model's name, or the NAME of "/services/NAME/..." where the pool is one of services.
    std::string model = {};
    PoolId pool = {};
    /// Share of the requests among the routes of the same organisation and model; zero takes none.
    std::int64_t weight = 100;
    std::string note = {};
    /// The revision that last changed the row.
    std::uint64_t rowVersion = 0;

    auto operator<=>(const RouteRow &) const = default;
    bool operator==(const RouteRow &) const = default;
};

}
