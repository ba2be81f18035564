#pragma once

#include "base/identifier.h"

#include <absl/status/status.h>

#include <cstdint>

namespace RadishSwitch
{

/// Lets only the latest holder of a pool give orders, for engines that ignore fencing numbers.
///
/// A holder that was paused while its lease lapsed wakes and gives the order that it had in mind. The new holder's
/// orders have come with a higher number by then, so the old one is refused. What the gate has seen dies with the
/// process; so an order names the agent's life as well, and a holder of old does not know the new one's.
class FenceGate
{
public:
    FenceGate(PoolId pool, IncarnationId incarnation);

    /// InvalidRequest for another pool, StaleFence for another life or a number lower than one admitted before.
    absl::Status admit(const PoolId &pool, const IncarnationId &incarnation, std::uint64_t fence);

private:
    PoolId m_pool;
    IncarnationId m_incarnation;
    std::uint64_t m_highestFence = 0;
};

}
