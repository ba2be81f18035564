#pragma once

#include "budgets/ledgerchange.h"

namespace RadishSwitch
{

/// Closes all portions of one holder in a shard to that holder, before the agents are asked for the charges.
///
/// The change modifies the shard even if the holder has no portion in it. A write by the holder may still be in flight
/// when the holder dies, and may reach the store after the closer has read the shard; its portion would then never be
/// closed. Every write by the holder names the object version that it expects, so one write after the holder's death
/// makes the late write fail with a version conflict.
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

    /// The holder's portions as this change left them.
    const std::vector<ClosingPortion> &closingPortions() const;

private:
    IncarnationId m_holder;
    std::vector<ClosingPortion> m_closingPortions;
};

}
