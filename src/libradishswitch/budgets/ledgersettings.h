#pragma once

#include "base/timerservice.h"

#include <cstddef>
#include <cstdint>

namespace RadishSwitch
{

/// Layout of the ledger, and limits and delays for writing to it.
struct LedgerSettings {
    /// Number of objects over which the budgets are distributed. Fixed for the life of a ledger; stored in
    /// "ledger/meta".
    std::uint32_t shardCount = 64;
    /// Maximum rate of store calls of this process for the ledger, in calls per second over all shards.
    double storeCallsPerSecond = 50;
    /// Number of store calls that may be made at once after an idle period.
    double storeCallBurst = 50;
    /// Time for which the first change of a batch waits for further changes, when a request waits for the change.
    Duration urgentDelay = std::chrono::milliseconds(5);
    /// The same for a change of a budget that runs low.
    Duration soonDelay = std::chrono::seconds(1);
    /// The same for a change that no request waits for. Each store call transfers the whole shard, so the changes of
    /// many budgets in that time cost no more calls than one.
    Duration relaxedDelay = std::chrono::seconds(15);
    /// Bounds of the exponential backoff after failed calls. Each pause is a random time between half and all of the
    /// current backoff.
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration longestBackoff = std::chrono::seconds(10);
    /// Number of consecutive failed calls after which the store counts as unavailable.
    int failuresUntilUnavailable = 2;
    /// Whether a writer starts its next round from the shard as it last wrote it, and reads the shard only after
    /// another process has written it. Saves half of the store calls when one process writes a shard; costs a rejected
    /// write each time when several processes do.
    bool cachesShards = false;
    /// Maximum size of an object's value, in bytes.
    std::size_t objectLimit = 1'000'000;

    bool operator==(const LedgerSettings &) const = default;
};

}
