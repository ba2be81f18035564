#pragma once

#include "budgets/ledger.h"

namespace RadishSwitch
{

/// The amounts of one budget, in tokens, for lists of budgets.
struct BudgetSummary {
    BudgetId budget;
    std::int64_t paid = 0;
    std::int64_t settled = 0;
    /// Tokens in portions, including withheld ones.
    std::int64_t granted = 0;
    std::int64_t withheld = 0;
    std::int64_t free = 0;
    std::size_t portions = 0;

    bool operator==(const BudgetSummary &) const = default;
};

/// The changes that operators make to the ledger. Each change and its audit entry are part of the same write.
///
/// A change is retried until the store has accepted it. A caller that stops waiting earlier must report the outcome as
/// unknown; submitting the same change again is safe, because each change counts once.
class LedgerEditor
{
public:
    template<typename T>
    using Callback = std::function<void(absl::StatusOr<T>)>;

    LedgerEditor(Ledger &ledger, TimerService &timers, TaskQueue &tasks);

    /// Creates an empty budget; an existing budget stays unchanged. Fails with InvalidRequest for a name that cannot be
    /// stored.
    void createBudget(const BudgetId &budget, const std::string &operatorName,
                      std::function<void(absl::Status)> callback);

    /// Books a payment, however often it is submitted only once, and returns the budget after that. Fails with
    /// BudgetUnknown, ObjectTooLarge, InvalidRequest, or with KeyReusedForOtherBody when the payment was booked with
    /// another amount.
    void topUp(const BudgetId &budget, const PaymentId &payment, std::int64_t tokens, const std::string &operatorName,
               Callback<BudgetRecord> callback);

    /// Returns the budget as it is in the store. Fails with BudgetUnknown, StoreUnavailable, StoreTimeout or
    /// ObjectMalformed.
    void show(const BudgetId &budget, Callback<BudgetRecord> callback);

    /// Lists the budgets of an organisation by name; an empty organisation stands for all. Reads all shards one after
    /// the other.
    void list(const OrganisationId &organisation, Callback<std::vector<BudgetSummary>> callback);

    /// Returns the stored audit entries of an organisation's budgets, oldest first; an empty organisation stands for
    /// all.
    void audit(const OrganisationId &organisation, Callback<std::vector<LedgerAuditEntry>> callback);

    /// Frees the withheld tokens that are not proved to be spent, on the responsibility of the operator. Fails with
    /// ObjectMissing when no such portion is withheld, and with InvalidRequest without an operator and a reason.
    void releaseWithheld(const BudgetId &budget, const PortionId &portion, const std::string &operatorName,
                         const std::string &reason, std::function<void(absl::Status)> callback);

private:
    using ShardVisitor = std::function<void(const LedgerShard &)>;

    void submit(const BudgetId &budget, std::shared_ptr<LedgerChange> change,
                std::function<void(absl::Status)> callback);
    void visitShards(std::uint32_t shard, ShardVisitor visitor, std::function<void(absl::Status)> callback);

    Ledger &m_ledger;
    TimerService &m_timers;
    TaskQueue &m_tasks;
};

}
