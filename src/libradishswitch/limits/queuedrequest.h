#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <absl/status/status.h>

#include <cstdint>

namespace RadishSwitch
{

/// A request that waits for a free slot of its pool.
struct QueuedRequest {
    RequestId request;
    OrganisationId organisation;
    /// Requests of a higher priority are served first, whatever the shares.
    int priority = 0;
    /// The organisation's weight among those of the same priority; above zero.
    double share = 1;
    /// Worst case in tokens.
    std::int64_t cost = 1;
    /// The latest time at which serving the request is still of use.
    Instant deadline{};

    bool operator==(const QueuedRequest &) const = default;
};

/// The final answer to a queued request that won't be served.
struct QueueRefusal {
    RequestId request;
    absl::Status status;
};

}
