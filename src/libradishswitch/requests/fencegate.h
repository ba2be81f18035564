#pragma once

#include "base/identifier.h"

#include <absl/status/status.h>

#include <cstdint>

namespace RadishSwitch
{

/// Admits orders only from the latest lease holder of a pool, on behalf of engines that ignore fencing tokens.
///
/// A holder that was paused while its lease expired resumes and sends an order that it had prepared before. The new
/// holder has sent orders with a higher fencing token by then, so the gate refuses the old order. The gate loses its
/// state when the agent's process ends. Therefore each order also names the agent's incarnation, and a former holder
/// does not know the incarnation of a restarted agent.
class FenceGate
{
public:
    FenceGate(PoolId pool, IncarnationId incarnation);

    /// InvalidRequest for an order to another pool. StaleFence for an order to another incarnation of the agent, or for
    /// a fencing token lower than one that was admitted before.
    absl::Status admit(const PoolId &pool, const IncarnationId &incarnation, std::uint64_t fence);

private:
    PoolId m_pool;
    IncarnationId m_incarnation;
    std::uint64_t m_highestFence = 0;
};

}
