#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// One incarnation of an endpoint, as the platform's list has it.
struct EndpointListing {
    EndpointId id;
    /// Start time of this incarnation, in milliseconds of the endpoint's own clock. An endpoint that restarts keeps its
    /// id and has a later start time. Zero if the platform does not report it.
    std::int64_t startedAtMilliseconds = 0;
    PoolId pool;
    /// Empty if the entry names none that can be used.
    SoftwareVersion softwareVersion;
    /// "ip:port".
    std::string address;
    std::string zone;
    /// Number of runs that the endpoint serves concurrently.
    int slots = 1;
    /// Version of the store at which the entry was last changed; zero if it is not known.
    std::uint64_t revision = 0;
    /// The endpoint finishes its runs and wants no new ones.
    bool isLeaving = false;
    /// Time for which the endpoint stays cold, counted from when the entry was written; zero if it is warm.
    Duration coldFor{};

    bool operator==(const EndpointListing &) const = default;
};

}
