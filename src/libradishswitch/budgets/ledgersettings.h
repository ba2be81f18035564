#pragma once

#include "base/timerservice.h"

#include <cstddef>
#include <cstdint>

namespace RadishSwitch
{

/// How the ledger is laid out and how a process writes to it.
struct LedgerSettings {
    /// Objects over which the budgets are spread. Fixed for the life of a ledger; kept in "ledger/meta".
    std::uint32_t shardCount = 64;
    /// Calls to the store that this process may make in a second for the ledger, over all shards.
    double storeCallsPerSecond = 50;
    /// Calls that may be made at once after a quiet time.
    double storeCallBurst = 50;
    /// How long the first change of a batch waits for others, when a request waits for it.
    Duration urgentDelay = std::chrono::milliseconds(5);
    /// The same for a change of a budget that runs low.
    Duration soonDelay = std::chrono::seconds(1);
    /// The same for a change that nobody waits for. Each call carries a whole shard, so that what many budgets have to
    /// say in that time costs as much as what one has.
    Duration relaxedDelay = std::chrono::seconds(15);
    /// The first pause after a failed call, and the longest. Each is drawn anew between half and the whole.
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration longestBackoff = std::chrono::seconds(10);
    /// Failed calls in a row after which the store counts as away.
    int failuresUntilUnavailable = 2;
    /// Whether a writer begins its next round with the shard as it wrote it last, and reads only when another has
    /// written since. Saves half of the calls where one process writes a shard; costs a refused write each time where
    /// several do.
    bool cachesShards = false;
    /// Greatest size of an object's value, in bytes.
    std::size_t objectLimit = 1'000'000;

    bool operator==(const LedgerSettings &) const = default;
};

}
