#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// An operator takes it on himself that a withheld portion spent no more than is proved. On the record: the audit
/// entry is part of the same write. ObjectMissing when no such portion is withheld.
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
