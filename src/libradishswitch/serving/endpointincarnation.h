#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <utility>

namespace RadishSwitch
{

/// One incarnation of an endpoint: an endpoint that restarts may keep its id.
struct EndpointIncarnation {
    EndpointId endpoint;
    /// Start time, as in its listing.
    std::int64_t startedAtMilliseconds = 0;

    auto operator<=>(const EndpointIncarnation &) const = default;
    bool operator==(const EndpointIncarnation &) const = default;

    template<typename H>
    friend H AbslHashValue(H h, const EndpointIncarnation &it)
    {
        return H::combine(std::move(h), it.endpoint, it.startedAtMilliseconds);
    }
};

}
