#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Takes all portions of one holder in a shard away from it, before the agents are asked what was spent.
///
/// Writes the shard even if the holder has no portion there. A write of the holder may be on its way when it dies, and
/// land after the closer has looked: its portion would then belong to nobody for ever. Every such write names the
/// version that it was made for, so one write after the holder's death makes it fail.
class BeginCloseChange : public LedgerChange
{
public:
    struct ClosingPortion {
        BudgetId budget;
        PortionId portion;
        PortionRecord record;

        bool operator==(const ClosingPortion &) const = default;
    };

    explicit BeginCloseChange(IncarnationId holder);

    absl::Status apply(LedgerShard &shard) override;
    std::string describe() const override;

    /// The holder's portions, as they are from now on.
    const std::vector<ClosingPortion> &portions() const;

private:
    IncarnationId m_holder;
    std::vector<ClosingPortion> m_portions;
};

}
