#pragma once

#include "routing/routecandidates.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// Strategy that chooses an endpoint of a pool. Each pool has its own policy object, so that a policy may keep state,
/// such as its place in a rotation.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /// The policy's name in the configuration table.
    virtual std::string_view name() const = 0;

    /// Returns one of the usable candidates, or nothing when there is none.
    virtual std::optional<EndpointSlot> choose(const RouteCandidates &candidates) = 0;
};

/// Creates the policy with this name, the default policy for an empty name, or null for an unknown name.
std::unique_ptr<RoutingPolicy> makeRoutingPolicy(std::string_view name);

/// All policy names that `makeRoutingPolicy` accepts, the default policy first.
const std::vector<std::string> &routingPolicyNames();

}
