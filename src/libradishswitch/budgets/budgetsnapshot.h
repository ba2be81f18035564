#pragma once

#include "budgets/ledgershard.h"

namespace RadishSwitch
{

/// How a budget stands in the ledger, as a holder needs to know it.
struct BudgetSnapshot {
    std::int64_t paid = 0;
    std::int64_t settled = 0;
    std::int64_t free = 0;
    /// What all portions hold beyond what their holders told to be spent.
    std::int64_t unspentInPortions = 0;
    std::size_t portions = 0;
    /// The holder that found too little; empty when none did.
    IncarnationId wantedBy;

    bool operator==(const BudgetSnapshot &) const = default;
};

inline BudgetSnapshot snapshotOf(const LedgerShard &shard, const BudgetId &budget)
{
    const BudgetRecord *record = shard.find(budget);
    if (!record) {
        return {};
    }
    return {record->paid(),
            record->settled(),
            record->free(),
            record->unspentInPortions(),
            record->portions().size(),
            record->wanted() ? record->wanted()->holder : IncarnationId()};
}

}
