#pragma once

#include "budgets/ledgershard.h"

namespace RadishSwitch
{

/// One change of a ledger shard, as a command that may be applied again.
///
/// Each change is idempotent under an id of its own kind (a payment, a portion with its sequence). A writer whose
/// answer was lost reads the object back and applies the same change to what it finds; applied already, it changes
/// nothing. A change that fails leaves the shard as it was.
class LedgerChange
{
public:
    virtual ~LedgerChange() = default;

    /// Applies the change to a shard as it was just read. Results are kept in the change for its owner.
    virtual absl::Status apply(LedgerShard &shard) = 0;

    /// One short line for logs.
    virtual std::string describe() const = 0;
};

}
