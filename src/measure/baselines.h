#pragma once

#include "requesthistory.h"
#include "truthrecords.h"

#include <cstdint>

namespace RadishSwitch
{

/// How many false refusals two simple ways of keeping budgets would have given on the same requests, replayed at the
/// moments at which they came. Both are taken at their best: no time is lost and each request costs what it truly
/// costs from the start.
struct BaselineFigures {
    /// Each payment is split equally between the sides, for good.
    std::int64_t splitFalseRefusals = 0;
    /// Every request asks the store, and is refused while the store is out of reach.
    std::int64_t storeFalseRefusals = 0;

    bool operator==(const BaselineFigures &) const = default;
};

BaselineFigures replayBaselines(const TruthRecords &records, const RequestHistories &histories);

}
