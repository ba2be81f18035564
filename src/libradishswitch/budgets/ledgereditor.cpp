#include "budgets/ledgereditor.h"

#include "base/failure.h"
#include "budgets/createbudgetchange.h"
#include "budgets/releasewithheldchange.h"
#include "budgets/topupchange.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

BudgetSummary summaryOf(const BudgetId &budget, const BudgetRecord &record)
{
    BudgetSummary summary;
    summary.budget = budget;
    summary.paid = record.paid();
    summary.settled = record.settled();
    summary.granted = record.granted();
    summary.withheld = record.withheld();
    summary.free = record.free();
    summary.portions = record.portions().size();
    return summary;
}

bool isOf(const BudgetId &budget, const OrganisationId &organisation)
{
    return organisation.isEmpty() || budget.organisation == organisation;
}

}

LedgerEditor::LedgerEditor(Ledger &ledger, TimerService &timers, TaskQueue &tasks)
    : m_ledger(ledger)
    , m_timers(timers)
    , m_tasks(tasks)
{
}

void LedgerEditor::createBudget(const BudgetId &budget, const std::string &operatorName,
                                std::function<void(absl::Status)> callback)
{
    const std::int64_t now = m_timers.wallClockMilliseconds();
    submit(budget, std::make_shared<CreateBudgetChange>(budget, operatorName, now), std::move(callback));
}

void LedgerEditor::topUp(const BudgetId &budget, const PaymentId &payment, std::int64_t tokens,
                         const std::string &operatorName, Callback<BudgetRecord> callback)
{
    const std::int64_t now = m_timers.wallClockMilliseconds();
    auto change = std::make_shared<TopUpChange>(budget, payment, tokens, operatorName, now);
    m_ledger.submit(budget, std::move(change), Urgency::Urgent,
                    [this, budget, callback = std::move(callback)](const absl::Status &status) {
                        if (status.ok()) {
                            return show(budget, callback);
                        }
                        m_tasks.post([callback, status] {
                            callback(status);
                        });
                    });
}

void LedgerEditor::show(const BudgetId &budget, Callback<BudgetRecord> callback)
{
    const auto answer = [this, callback = std::move(callback)](absl::StatusOr<BudgetRecord> result) {
        m_tasks.post([callback, result = std::move(result)] {
            callback(result);
        });
    };
    m_ledger.readShard(m_ledger.shardOf(budget), [budget, answer](const absl::StatusOr<LedgerShard> &shard) {
        if (!shard.ok()) {
            return answer(shard.status());
        }
        const BudgetRecord *record = shard->find(budget);
        if (!record) {
            return answer(makeFailure(FailureCode::BudgetUnknown, "no budget " + budget.toString()));
        }
        answer(*record);
    });
}

void LedgerEditor::list(const OrganisationId &organisation, Callback<std::vector<BudgetSummary>> callback)
{
    const auto found = std::make_shared<std::vector<BudgetSummary>>();
    const auto visitor = [organisation, found](const LedgerShard &shard) {
        for (const auto &[budget, record] : shard.budgets()) {
            if (isOf(budget, organisation)) {
                found->push_back(summaryOf(budget, record));
            }
        }
    };
    visitShards(0, visitor, [found, callback = std::move(callback)](const absl::Status &status) {
        if (!status.ok()) {
            return callback(status);
        }
        std::sort(found->begin(), found->end(), [](const BudgetSummary &a, const BudgetSummary &b) {
            return a.budget < b.budget;
        });
        callback(*found);
    });
}

void LedgerEditor::audit(const OrganisationId &organisation, Callback<std::vector<LedgerAuditEntry>> callback)
{
    const auto found = std::make_shared<std::vector<LedgerAuditEntry>>();
    const auto visitor = [organisation, found](const LedgerShard &shard) {
        for (const LedgerAuditEntry &entry : shard.audit()) {
            if (isOf(entry.budget, organisation)) {
                found->push_back(entry);
            }
        }
    };
    visitShards(0, visitor, [found, callback = std::move(callback)](const absl::Status &status) {
        if (!status.ok()) {
            return callback(status);
        }
        std::stable_sort(found->begin(), found->end(), [](const LedgerAuditEntry &a, const LedgerAuditEntry &b) {
            return a.atMilliseconds < b.atMilliseconds;
        });
        callback(*found);
    });
}

void LedgerEditor::releaseWithheld(const BudgetId &budget, const PortionId &portion, const std::string &operatorName,
                                   const std::string &reason, std::function<void(absl::Status)> callback)
{
    if (operatorName.empty() || reason.empty()) {
        return m_tasks.post([callback = std::move(callback)] {
            callback(makeFailure(FailureCode::InvalidRequest, "a release needs the name of the operator and a reason"));
        });
    }
    const std::int64_t now = m_timers.wallClockMilliseconds();
    submit(budget, std::make_shared<ReleaseWithheldChange>(budget, portion, operatorName, reason, now),
           std::move(callback));
}

void LedgerEditor::submit(const BudgetId &budget, std::shared_ptr<LedgerChange> change,
                          std::function<void(absl::Status)> callback)
{
    m_ledger.submit(budget, std::move(change), Urgency::Urgent,
                    [this, callback = std::move(callback)](const absl::Status &status) {
                        m_tasks.post([callback, status] {
                            callback(status);
                        });
                    });
}

void LedgerEditor::visitShards(std::uint32_t shard, ShardVisitor visitor, std::function<void(absl::Status)> callback)
{
    if (shard == m_ledger.shardCount()) {
        return m_tasks.post([callback = std::move(callback)] {
            callback(absl::OkStatus());
        });
    }
    m_ledger.readShard(shard,
                       [this, shard, visitor = std::move(visitor),
                        callback = std::move(callback)](const absl::StatusOr<LedgerShard> &read) {
                           if (!read.ok()) {
                               return m_tasks.post([callback, status = read.status()] {
                                   callback(status);
                               });
                           }
                           visitor(*read);
                           visitShards(shard + 1, visitor, callback);
                       });
}

}
