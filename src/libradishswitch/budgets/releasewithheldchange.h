#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Releases a withheld portion. The operator takes responsibility that no more of it was spent than is proved. The
/// audit entry is part of the same write. Fails with ObjectMissing when no such portion is withheld.
class ReleaseWithheldChange : public LedgerChange
{
public:
    ReleaseWithheldChange(BudgetId budget, PortionId portion, std::string operatorName, std::string reason,
                          std::int64_t atMilliseconds);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

private:
    bool isReleased(const LedgerShard &shard) const;

    BudgetId m_budget;
    LedgerAuditEntry m_entry;
    PortionId m_portion;
};

}
