#pragma once

#include "budgets/ledger.h"

namespace RadishSwitch
{

/// One line about a budget.
struct BudgetSummary {
    BudgetId budget;
    std::int64_t paid = 0;
    std::int64_t settled = 0;
    /// In portions, withheld ones among them.
    std::int64_t granted = 0;
    std::int64_t withheld = 0;
    std::int64_t free = 0;
    std::size_t portions = 0;

    bool operator==(const BudgetSummary &) const = default;
};

/// What operators do to the ledger. Each change and its audit entry are one write.
///
/// A change is tried until the store has it. A caller that stops waiting earlier must tell its operator that the
/// outcome is unknown; doing the same again is safe, since each change counts once.
class LedgerEditor
{
public:
    template<typename T>
    using Callback = std::function<void(absl::StatusOr<T>)>;

    LedgerEditor(Ledger &ledger, TimerService &timers, TaskQueue &tasks);

    /// Creates an empty budget; one that is there stays as it is. InvalidRequest for a name that cannot be kept.
    void createBudget(const BudgetId &budget, const std::string &operatorName,
                      std::function<void(absl::Status)> callback);

    /// Books a payment, once however often it is told, and gives the record after that. BudgetUnknown,
    /// KeyReusedForOtherBody when the payment is booked with another amount, InvalidRequest, ObjectTooLarge.
    void topUp(const BudgetId &budget, const PaymentId &payment, std::int64_t tokens, const std::string &operatorName,
               Callback<BudgetRecord> callback);

    /// The record as the store has it. BudgetUnknown, StoreUnavailable, StoreTimeout, ObjectMalformed.
    void show(const BudgetId &budget, Callback<BudgetRecord> callback);

    /// Every budget of an organisation, or of all when it is empty, by name. Reads every shard, one after the other.
    void list(const OrganisationId &organisation, Callback<std::vector<BudgetSummary>> callback);

    /// The kept audit entries of an organisation's budgets, or of all when it is empty, oldest first.
    void audit(const OrganisationId &organisation, Callback<std::vector<LedgerAuditEntry>> callback);

    /// Frees what is withheld and not proved to be spent; the operator answers for it. ObjectMissing when no such
    /// portion is withheld; InvalidRequest without an operator and a reason.
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
