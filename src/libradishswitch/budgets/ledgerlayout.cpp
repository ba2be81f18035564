#include "budgets/ledgerlayout.h"

#include <xxhash.h>

#include <cstdio>

namespace RadishSwitch
{

std::uint32_t ledgerShardOf(const BudgetId &budget, std::uint32_t shardCount)
{
    const std::string name = budget.toString();
    return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0) % shardCount);
}

std::string ledgerShardKey(std::uint32_t shard)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "ledger/%04u", shard);
    return buf;
}

}
