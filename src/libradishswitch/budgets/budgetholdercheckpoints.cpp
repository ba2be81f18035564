#include "budgets/budgetholder.h"

#include <utility>

namespace RadishSwitch
{

void BudgetHolder::checkpointSlot()
{
    m_wheelSlot = (m_wheelSlot + 1) % kWheelSlots;
    std::vector<Entry *> &slot = m_wheel[m_wheelSlot];
    std::erase_if(slot, [this](Entry *entry) {
        checkpoint(*entry);
        if (!isRemovable(entry->second)) {
            return false;
        }
        const BudgetId budget = entry->first;
        std::erase(m_budgetsByShard[entry->second.shard()], entry);
        m_budgets.erase(budget);
        return true;
    });
    const absl::flat_hash_set<Entry *> withWaiting = m_withWaiting;
    for (Entry *entry : withWaiting) {
        evaluate(*entry);
    }
}

void BudgetHolder::checkpoint(Entry &entry)
{
    HeldBudget &budget = entry.second;
    const HeldPortion current = budget.current();
    const bool isIdle =
        current.reserved == 0 && !budget.hasWaiting() && m_timers.now() - budget.lastUsedAt() >= m_settings.idleTime;
    if (current.number != 0 && isIdle && !budget.isTakePending) {
        retirePortion(entry, budget.replaceCurrent({}));
    } else if (current.number != 0) {
        report(entry, current);
        replaceIfOld(entry);
    }
    for (const HeldPortion &it : budget.draining()) {
        report(entry, it);
    }
}

bool BudgetHolder::isOld(const HeldPortion &portion) const
{
    return portion.takenAt < m_replaceTakenBefore || m_timers.now() - portion.takenAt > m_settings.portionLifetime;
}

void BudgetHolder::replaceIfOld(Entry &entry)
{
    HeldBudget &budget = entry.second;
    if (budget.isTakePending || m_isStopping || budget.hasWaiting() || !isOld(budget.current())) {
        return;
    }
    if (m_ledger.isStoreUnavailable(budget.shard())) {
        return;
    }
    submitTake(entry, backgroundUrgency(budget));
}

void BudgetHolder::report(Entry &entry, const HeldPortion &portion)
{
    if (isReportDue(entry.second, portion)) {
        submitReport(entry, portion, backgroundUrgency(entry.second));
    }
}

void BudgetHolder::submitReport(Entry &entry, const HeldPortion &portion, Urgency urgency)
{
    const auto change = std::make_shared<ReportSpendChange>(entry.first, portionId(portion.number), portion.spent);
    const Instant now = m_timers.now();
    entry.second.pendingChanges += 1;
    m_ledger.submit(entry.first, change, urgency,
                    [this, alive = std::weak_ptr<int>(m_alive), &entry, change, number = portion.number,
                     now](const absl::Status &status) {
                        if (!alive.expired()) {
                            entry.second.pendingChanges -= 1;
                            handleReported(entry, *change, number, now, status);
                        }
                    });
}

void BudgetHolder::handleReported(Entry &entry, const ReportSpendChange &change, std::uint32_t number,
                                  Instant submittedAt, const absl::Status &status)
{
    HeldBudget &budget = entry.second;
    HeldPortion *portion = budget.find(number);
    if (!portion) {
        return;
    }
    if (isPortionLost(status)) {
        dropLostPortion(entry, number);
        return evaluate(entry);
    }
    if (!status.ok()) {
        return;
    }
    portion->confirmedAt = std::max(portion->confirmedAt, submittedAt);
    budget.lastFree = change.snapshot().free;
    budget.lastPaid = change.snapshot().paid;
    if (portion == &budget.current() && !budget.isTakePending && !m_isStopping) {
        returnSurplus(entry, change.snapshot());
    }
}

void BudgetHolder::returnSurplus(Entry &entry, const BudgetSnapshot &snapshot)
{
    HeldBudget &budget = entry.second;
    const Instant now = m_timers.now();
    const bool isWantedElsewhere = !snapshot.wantedBy.isEmpty() && snapshot.wantedBy != m_settings.incarnation;
    const std::int64_t target = budget.targetSize(now, m_settings);
    const std::int64_t kept = isWantedElsewhere ? budget.sizeInShortage(now, m_settings) : target;
    const double limit =
        isWantedElsewhere ? static_cast<double>(kept) : static_cast<double>(target) * m_settings.surplusFactor;
    HeldPortion &portion = budget.current();
    if (budget.hasWaiting() || static_cast<double>(portion.available()) <= limit) {
        return;
    }
    if (kept == 0 && portion.reserved == 0) {
        return retirePortion(entry, budget.replaceCurrent({}));
    }
    returnPart(entry, portion, portion.available() - kept);
}

bool BudgetHolder::isRemovable(const HeldBudget &budget) const
{
    return budget.current().number == 0 && budget.draining().empty() && !budget.hasWaiting() && !budget.isTakePending
        && budget.pendingChanges == 0 && budget.openReservations == 0
        && m_timers.now() - budget.lastUsedAt() >= m_settings.idleTime;
}

bool BudgetHolder::isReportDue(const HeldBudget &budget, const HeldPortion &portion) const
{
    return isLow(budget) || m_timers.now() - portion.confirmedAt >= m_settings.relaxedCheckpointInterval;
}

}
