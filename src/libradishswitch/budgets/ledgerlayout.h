#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// Key of the object that contains the number of shards of the ledger.
inline constexpr const char *kLedgerMetaKey = "ledger/meta";

/// The shard of a budget, from 0 to `shardCount` - 1.
std::uint32_t ledgerShardOf(const BudgetId &budget, std::uint32_t shardCount);

/// Key of the object of a shard, such as "ledger/0007".
std::string ledgerShardKey(std::uint32_t shard);

}
