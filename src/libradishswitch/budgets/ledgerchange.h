#pragma once

#include "budgets/ledgershard.h"

namespace RadishSwitch
{

/// One change of a ledger shard, as a command that can be applied more than once.
///
/// Each change is idempotent under an id of its kind: a payment id, or a portion id with a sequence number. When the
/// answer to a write was lost, the writer reads the object again and applies the same change to it; a change that the
/// object already contains modifies nothing. A change that fails leaves the shard unmodified.
class LedgerChange
{
public:
    virtual ~LedgerChange() = default;

    /// Applies the change to a shard that was just read. Results are stored in the change, where its submitter reads
    /// them.
    virtual absl::Status apply(LedgerShard &shard) = 0;

    /// One short line for logs.
    virtual std::string describe() const = 0;
};

}
