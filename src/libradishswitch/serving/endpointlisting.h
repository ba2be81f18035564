#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// One life of an endpoint, as the platform's list has it.
struct EndpointListing {
    EndpointId id;
    /// When this life began, in milliseconds of the endpoint's own clock. An endpoint that starts again keeps its id
    /// and has a later one. Zero where the platform does not tell.
    std::int64_t startedAtMilliseconds = 0;
    PoolId pool;
    /// "ip:port".
    std::string address;
    std::string zone;
    /// Runs that it serves at once.
    int slots = 1;
    /// Version of the store at which the entry was last changed; zero where it is not known.
    std::uint64_t revision = 0;
    /// It goes on with what it has and wants no new work.
    bool isLeaving = false;
    /// How much longer it stays cold, as of when the entry was written; zero where it is warm.
    Duration coldFor{};

    bool operator==(const EndpointListing &) const = default;
};

}
