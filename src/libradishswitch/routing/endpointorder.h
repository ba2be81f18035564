#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

enum class OrderKind {
    /// Replace the model's version; the endpoint serves nothing meanwhile.
    SetVersion,
    LoadAdapter,
    UnloadAdapter,
};

/// What the holder of a pool's lease tells an endpoint to do.
struct EndpointOrder {
    PoolId pool;
    EndpointId endpoint;
    /// The lease's fencing number, and the order's place among those of that holder.
    std::uint64_t fence = 0;
    std::uint64_t number = 0;
    OrderKind kind = OrderKind::SetVersion;
    /// A version or an adapter.
    std::string name;

    bool operator==(const EndpointOrder &) const = default;
};

}
