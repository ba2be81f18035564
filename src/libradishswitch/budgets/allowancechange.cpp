#include "budgets/allowancechange.h"

#include <cstdio>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr char kBookedBy[] = "configuration";

/// The payments of a budget are ordered by id, so the zero-padded version makes the newest one come last.
PaymentId paymentOf(std::uint64_t version)
{
    char buf[48];
    std::snprintf(buf, sizeof buf, "allowance-%020llu", static_cast<unsigned long long>(version));
    return PaymentId(buf);
}

}

AllowanceChange::AllowanceChange(BudgetId budget, std::uint64_t version, std::int64_t totalTokens,
                                 std::int64_t atMilliseconds)
    : m_budget(std::move(budget))
    , m_version(version)
    , m_totalTokens(totalTokens)
    , m_atMilliseconds(atMilliseconds)
{
}

absl::Status AllowanceChange::apply(LedgerShard &shard)
{
    const PaymentId payment = paymentOf(m_version);
    const BudgetRecord *record = shard.find(m_budget);
    if (!record) {
        const absl::StatusOr<bool> isNew = shard.create(m_budget);
        if (!isNew.ok()) {
            return isNew.status();
        }
        record = shard.find(m_budget);
    }
    const bool isBooked = !record->topUps().empty() && record->topUps().rbegin()->first >= payment;
    const std::int64_t missing = m_totalTokens - record->paid();
    if (isBooked || missing <= 0) {
        return absl::OkStatus();
    }
    return shard.change(m_budget, [&](BudgetRecord &it) {
        return it.topUp(payment, TopUpRecord{missing, kBookedBy, m_atMilliseconds});
    });
}

std::string AllowanceChange::describe() const
{
    return "bring " + m_budget.toString() + " to " + std::to_string(m_totalTokens) + " tokens";
}

}
