#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

enum class OrderKind {
    /// Replaces the version of the model. The endpoint serves no requests during the change.
    SetVersion,
    LoadAdapter,
    UnloadAdapter,
};

/// A command to an endpoint, from the process that holds the lease of the endpoint's pool.
struct EndpointOrder {
    PoolId pool;
    EndpointId endpoint;
    /// The fencing number of the lease, and the sequence number of the order among the orders of that lease holder.
    std::uint64_t fence = 0;
    std::uint64_t number = 0;
    OrderKind kind = OrderKind::SetVersion;
    /// The version to set, or the adapter to load or unload.
    std::string name;

    bool operator==(const EndpointOrder &) const = default;
};

}
