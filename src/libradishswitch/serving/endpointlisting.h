#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <string>

namespace RadishSwitch
{

/// One life of an endpoint, as the platform's list has it. A restart has another id, also at the same address.
struct EndpointListing {
    EndpointId id;
    PoolId pool;
    /// "ip:port".
    std::string address;
    std::string zone;
    /// Runs that it serves at once.
    int slots = 1;
    /// It goes on with what it has and wants no new work.
    bool isLeaving = false;

    bool operator==(const EndpointListing &) const = default;
};

}
