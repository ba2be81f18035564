#pragma once

#include "routing/routecandidates.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// How a pool's endpoint is picked. One object serves one pool, so that a policy may keep a turn or a cursor.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /// The name in the table.
    virtual std::string_view name() const = 0;

    /// One of the usable candidates, or nothing when there is none.
    virtual std::optional<EndpointSlot> choose(const RouteCandidates &candidates) = 0;
};

/// The policy of that name; null when there is none such. The empty name gives the default policy.
std::unique_ptr<RoutingPolicy> makeRoutingPolicy(std::string_view name);

/// The names that `makeRoutingPolicy` knows.
const std::vector<std::string> &routingPolicyNames();

}
