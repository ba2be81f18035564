#pragma once

#include "routing/endpointorder.h"

#include <absl/status/status.h>

#include <cstdint>
#include <optional>

namespace RadishSwitch
{

/// Checks orders to an endpoint's engine at its agent, and lets them take effect in their order only.
///
/// A lease holder that was paused sends an order long after its lease expired, when another holder has ordered
/// something else. Some engines ignore fencing tokens and would return to the old state, so the agent checks the tokens
/// for them.
class OrderGate
{
public:
    /// Sets the current fencing token of the lease, as read from the store. Until it is set no order is admitted,
    /// because an agent that has just started cannot know which orders are outdated.
    void setFence(std::uint64_t fence);

    /// StaleFence for an order of an earlier holder, and for an order that is not newer than the last admitted order of
    /// the same holder. Such an order must not be sent to the engine.
    absl::Status admit(const EndpointOrder &order);

private:
    std::optional<std::uint64_t> m_fence;
    std::uint64_t m_number = 0;
};

}
