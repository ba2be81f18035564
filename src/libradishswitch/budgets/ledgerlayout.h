#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// Key of the object that holds the ledger's shard count.
inline constexpr const char *kLedgerMetaKey = "ledger/meta";

/// The shard that holds a budget, from 0 to `shardCount` - 1.
std::uint32_t ledgerShardOf(const BudgetId &budget, std::uint32_t shardCount);

/// Key of a shard's object: "ledger/0007".
std::string ledgerShardKey(std::uint32_t shard);

}
