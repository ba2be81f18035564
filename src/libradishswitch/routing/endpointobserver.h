#pragma once

#include "routing/endpointstate.h"

namespace RadishSwitch
{

/// Told by the directory, in place, of what its reports change.
class EndpointObserver
{
public:
    virtual ~EndpointObserver() = default;

    /// A fresh incarnation was heard for the first time: nothing known of an earlier one holds.
    virtual void endpointStarted(EndpointSlot slot, Instant now) = 0;

    /// A report was taken in; `load` and `loadMeasuredAt` are those of the report.
    virtual void endpointReported(EndpointSlot slot, const std::vector<CacheEvent> &events, Instant now) = 0;

    /// The endpoint is forgotten; its slot will be used again.
    virtual void endpointRemoved(EndpointSlot slot) = 0;
};

}
