#pragma once

#include "budgets/ledgershard.h"

namespace RadishSwitch
{

/// The amounts of a budget in the ledger at one moment, as far as a holder needs them.
struct BudgetSnapshot {
    std::int64_t paid = 0;
    std::int64_t settled = 0;
    std::int64_t free = 0;
    /// Tokens in all portions that their holders have not reported as spent.
    std::int64_t unspentInPortions = 0;
    std::size_t portions = 0;
    /// The holder that found too few free tokens in the ledger; empty when there is none.
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
