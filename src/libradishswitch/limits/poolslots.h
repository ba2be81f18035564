#pragma once

#include <cstdint>
#include <limits>

namespace RadishSwitch
{

/// The slots of a pool that one process may use.
struct PoolSlots {
    /// Runs that it should start now at most.
    std::int64_t free = std::numeric_limits<std::int64_t>::max();
    /// Its own slots, free or not.
    std::int64_t own = 0;

    bool operator==(const PoolSlots &) const = default;
};

}
