#pragma once

#include "routing/endpointorder.h"

#include <absl/status/status.h>

#include <cstdint>
#include <optional>

namespace RadishSwitch
{

/// Stands before an endpoint's engine at its agent and lets orders take effect in one order only.
///
/// A holder that was paused sends an order for which its lease has long lapsed, after a rival has ordered something
/// else. Some engines ignore fencing numbers and would go back to the old state; so the agent checks for them.
class OrderGate
{
public:
    /// Tells the lease's present fencing number, as read from the store. Until then no order is let through: an agent
    /// that has just started does not know which orders are late.
    void setFence(std::uint64_t fence);

    /// Fails with StaleFence for an order of an earlier holder, or one that is not the holder's latest; the order must
    /// not reach the engine then.
    absl::Status admit(const EndpointOrder &order);

private:
    std::optional<std::uint64_t> m_fence;
    std::uint64_t m_number = 0;
};

}
