#pragma once

#include "budgets/budgetrecord.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace RadishSwitch
{

/// Whether a name can be kept in a shard unchanged: 1 to 200 bytes of UTF-8 without control characters.
bool isStorableName(const std::string &name);

/// Who did what to a budget, kept in the same object as the budget itself.
struct LedgerAuditEntry {
    std::int64_t atMilliseconds = 0;
    std::string operatorName;
    /// "create", "top-up", "release".
    std::string action;
    BudgetId budget;
    /// The payment, or the portion with its reason.
    std::string subject;
    std::int64_t tokens = 0;

    bool operator==(const LedgerAuditEntry &) const = default;
};

/// The budgets of one object "ledger/NNNN" of the platform's store.
class LedgerShard
{
public:
    /// Entries of the audit list that are kept one by one; older ones are only counted.
    static constexpr std::size_t kMaximumAuditEntries = 200;

    LedgerShard() = default;

    const std::map<BudgetId, BudgetRecord> &budgets() const;
    /// The record, or nothing.
    const BudgetRecord *find(const BudgetId &budget) const;
    const std::deque<LedgerAuditEntry> &audit() const;
    std::uint64_t foldedAuditEntries() const;

    /// Adds an empty budget; a budget that is there stays as it is, and gives false. InvalidRequest for a name that
    /// cannot be kept: empty, longer than 200 bytes, not UTF-8 or with control characters, or "/" in the
    /// organisation's.
    absl::StatusOr<bool> create(const BudgetId &budget);

    /// Changes one budget as a whole or not at all: when `change` fails or leaves a record that breaks a rule, the
    /// record stays as it was. BudgetUnknown when there is no such budget.
    absl::Status change(const BudgetId &budget, const std::function<absl::Status(BudgetRecord &)> &change);

    void addAudit(LedgerAuditEntry entry);

    /// Counts one more closing of a holder's portions, so that the object changes whatever else it holds.
    void addFence();
    std::uint64_t fences() const;

    /// The object's value: JSON that people can read.
    std::string toJson() const;

    /// Reads an object's value. ObjectMalformed when it is not what `toJson` writes, or breaks a rule.
    static absl::StatusOr<LedgerShard> fromJson(const std::string &json);

    /// Whether anything was changed since the shard was read.
    bool isModified() const;

    /// From here on changes count anew.
    void clearModified();

private:
    bool m_isModified = false;
    std::map<BudgetId, BudgetRecord> m_budgets;
    std::deque<LedgerAuditEntry> m_audit;
    std::uint64_t m_foldedAuditEntries = 0;
    std::uint64_t m_fences = 0;
};

}
