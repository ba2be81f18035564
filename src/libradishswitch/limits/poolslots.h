#pragma once

#include <cstdint>
#include <limits>

namespace RadishSwitch
{

/// The slots of a pool that one process may use.
struct PoolSlots {
    /// The number of runs that the process may start now.
    std::int64_t free = std::numeric_limits<std::int64_t>::max();
    /// The process's own slots, whether free or in use.
    std::int64_t own = 0;

    bool operator==(const PoolSlots &) const = default;
};

}
