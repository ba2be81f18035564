#pragma once

#include "routing/endpointstate.h"

namespace RadishSwitch
{

/// Receives the changes of the endpoint directory, synchronously.
class EndpointObserver
{
public:
    virtual ~EndpointObserver() = default;

    /// The first report of a new incarnation arrived. Everything that was learnt about earlier incarnations of the
    /// endpoint is void.
    virtual void endpointStarted(EndpointSlot slot, Instant now) = 0;

    /// A report or a newer load was applied. The endpoint's state holds its `load` and `loadMeasuredAt` already;
    /// `events` are the cache events of the report.
    virtual void endpointReported(EndpointSlot slot, const std::vector<CacheEvent> &events, Instant now) = 0;

    /// The endpoint was removed. Its slot may be given to another endpoint later.
    virtual void endpointRemoved(EndpointSlot slot) = 0;
};

}
