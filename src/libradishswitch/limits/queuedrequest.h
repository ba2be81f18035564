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
    /// The higher goes first, whatever the shares.
    int priority = 0;
    /// The organisation's weight among those of the same priority; above zero.
    double share = 1;
    /// Tokens, by the worst case.
    std::int64_t cost = 1;
    /// The last moment at which it still helps to leave the queue.
    Instant deadline{};

    bool operator==(const QueuedRequest &) const = default;
};

/// The final answer to a request that was in the queue and will not be served.
struct QueueRefusal {
    RequestId request;
    absl::Status status;
};

}
