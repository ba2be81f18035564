#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"
#include "routing/endpointstate.h"

#include <optional>

namespace RadishSwitch
{

/// What is expected of an endpoint at this moment, from reports of any age and from the other endpoints of its pool.
struct LoadEstimate {
    /// Time until a prompt that is sent now starts to be prefilled, not counting the calls of this process.
    double waitSeconds = 0;
    /// Mean time between two events of a stream while no prompts are prefilled.
    double idleEventSeconds = 0;
    /// Longest pause between two events that streams have had there lately.
    double pauseSeconds = 0;
    /// Speed relative to the median of its pool: 0.5 for an endpoint that takes twice as long.
    double relativeSpeed = 1;
    /// Streams that are running there, those of all gateways included.
    double running = 0;
    /// Used share of its memory, from 0 to 1.
    double memoryShare = 0;

    bool operator==(const LoadEstimate &) const = default;
};

/// Where the placement of calls learns the load and speed of endpoints from.
class EndpointLoadSource
{
public:
    virtual ~EndpointLoadSource() = default;

    /// Nullopt if nothing is known about any endpoint of its pool.
    virtual std::optional<LoadEstimate> estimate(EndpointSlot slot, Instant now) const = 0;

    /// Whether the endpoints of a pool differ so much in speed that placement has to consider it.
    virtual bool isUneven(const PoolId &pool) const = 0;
};

}
