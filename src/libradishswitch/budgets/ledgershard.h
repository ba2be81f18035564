#pragma once

#include "budgets/budgetrecord.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace RadishSwitch
{

/// Whether a name can be stored in a shard unchanged: 1 to 200 bytes of UTF-8 without control characters.
bool isStorableName(const std::string &name);

/// An operator's change to a budget, stored in the same object as the budget itself.
struct LedgerAuditEntry {
    std::int64_t atMilliseconds = 0;
    std::string operatorName;
    /// "create", "top-up" or "release".
    std::string action;
    BudgetId budget;
    /// The payment id, or the portion id with the reason.
    std::string subject;
    std::int64_t tokens = 0;

    bool operator==(const LedgerAuditEntry &) const = default;
};

/// The budgets in one object "ledger/NNNN" of the platform's store.
class LedgerShard
{
public:
    /// Maximum number of audit entries that are stored; older entries are only counted.
    static constexpr std::size_t kMaximumAuditEntries = 200;

    LedgerShard() = default;

    const std::map<BudgetId, BudgetRecord> &budgets() const;
    /// The budget's record; null when there is no such budget.
    const BudgetRecord *find(const BudgetId &budget) const;
    const std::deque<LedgerAuditEntry> &audit() const;
    std::uint64_t foldedAuditEntries() const;

    /// Adds an empty budget and returns true. An existing budget stays unchanged, and the result is false. Fails with
    /// InvalidRequest for a name that cannot be stored: empty, longer than 200 bytes, not UTF-8, with control
    /// characters, or with "/" in the name of the organisation.
    absl::StatusOr<bool> create(const BudgetId &budget);

    /// Changes one budget entirely or not at all: when `change` fails or leaves a record that breaks an invariant, the
    /// record stays unchanged. Fails with BudgetUnknown when there is no such budget.
    absl::Status change(const BudgetId &budget, const std::function<absl::Status(BudgetRecord &)> &change);

    void addAudit(LedgerAuditEntry entry);

    /// Increments the fence counter, so that closing a holder's portions always modifies the object. A write that the
    /// holder prepared for the previous version then fails.
    void addFence();
    std::uint64_t fences() const;

    /// Serializes the shard to the value of its object, as human-readable JSON.
    std::string toJson() const;

    /// Parses the value of a shard's object. Fails with ObjectMalformed when the value was not written by `toJson`, or
    /// breaks an invariant.
    static absl::StatusOr<LedgerShard> fromJson(const std::string &json);

    /// Whether the shard was modified since it was read, or since `clearModified`.
    bool isModified() const;

    /// Marks the shard as unmodified.
    void clearModified();

private:
    bool m_isModified = false;
    std::map<BudgetId, BudgetRecord> m_budgets;
    std::deque<LedgerAuditEntry> m_audit;
    std::uint64_t m_foldedAuditEntries = 0;
    std::uint64_t m_fences = 0;
};

}
