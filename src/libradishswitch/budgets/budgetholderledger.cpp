#include "budgets/budgetholder.h"

#include "base/failure.h"
#include "budgets/returnportionchange.h"
#include "budgets/withholdpartchange.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Below this share of the low-water mark, a request for more tokens is expedited instead of waiting for another write
/// of the shard.
constexpr double kExpediteShare = 0.8;

}

bool BudgetHolder::isPortionLost(const absl::Status &status)
{
    if (status.ok()) {
        return false;
    }
    return failureCode(status) == FailureCode::PortionClosed || failureCode(status) == FailureCode::BudgetUnknown;
}

bool BudgetHolder::isLastFreeCurrent(const HeldBudget &budget) const
{
    return budget.lastFreeAt != Instant::min()
        && m_timers.now() - budget.lastFreeAt < m_settings.exhaustedRecheckInterval;
}

bool BudgetHolder::isLastFreeRecent(const HeldBudget &budget) const
{
    // An answer may take as long as the pause before the next query, and a budget shares its shard's rounds with
    // others.
    constexpr int kRounds = 4;
    return budget.lastFreeAt != Instant::min()
        && m_timers.now() - budget.lastFreeAt < kRounds * m_settings.exhaustedRecheckInterval;
}

bool BudgetHolder::isLow(const HeldBudget &budget) const
{
    return budget.lastFree < budget.targetSize(m_timers.now(), m_settings) * m_settings.lowBudgetFactor;
}

Urgency BudgetHolder::backgroundUrgency(const HeldBudget &budget) const
{
    return isLow(budget) ? Urgency::Soon : Urgency::Relaxed;
}

void BudgetHolder::takeIfLow(Entry &entry)
{
    HeldBudget &budget = entry.second;
    if (m_isStopping || budget.isUnknown) {
        return;
    }
    const Instant now = m_timers.now();
    if (budget.isTakePending) {
        // A request for tokens with low urgency is sent with the shard's next write, which may be many seconds away. If
        // the use of the budget grows meanwhile, an outage in that time would leave it with a portion sized for the
        // earlier use.
        const double low = static_cast<double>(budget.targetSize(now, m_settings)) * m_settings.lowWaterShare;
        if (static_cast<double>(budget.current().available()) < low * kExpediteShare) {
            m_ledger.expedite(budget.shard());
        }
        return;
    }
    if (budget.lastTakeAt != Instant::min() && now - budget.lastTakeAt < m_settings.relaxedTakeInterval) {
        return;
    }
    const auto lowWater = static_cast<double>(budget.targetSize(now, m_settings)) * m_settings.lowWaterShare;
    const auto available = static_cast<double>(budget.current().available());
    if (available < lowWater) {
        submitTake(entry, available < lowWater * kExpediteShare ? Urgency::Soon : backgroundUrgency(budget));
    }
}

// Without this, each budget causes a write of the shard at its own time: 40 budgets in 8 shards caused 5 writes of a
// shard in the 1.4 s that a portion stays above its low-water mark. Here one write refills all of them, and none needs
// a write of its own soon after.
void BudgetHolder::handleRound(std::uint32_t shard)
{
    const auto it = m_budgetsByShard.find(shard);
    if (it == m_budgetsByShard.end() || m_isStopping || m_settings.rideAlongShare <= 0) {
        return;
    }
    for (Entry *entry : it->second) {
        if (mayRideAlong(entry->second)) {
            submitTake(*entry, Urgency::Relaxed);
        }
    }
}

bool BudgetHolder::mayRideAlong(const HeldBudget &budget) const
{
    const bool isExhausted = isLastFreeCurrent(budget) && budget.lastFree < budget.smallestUseful();
    const bool isUsed = budget.current().number != 0 && m_timers.now() - budget.lastUsedAt() < m_settings.idleTime;
    if (budget.isTakePending || budget.isUnknown || isExhausted || !isUsed) {
        return false;
    }
    const auto target = static_cast<double>(budget.targetSize(m_timers.now(), m_settings));
    return static_cast<double>(budget.current().available()) < target * m_settings.rideAlongShare;
}

void BudgetHolder::submitTake(Entry &entry, Urgency urgency)
{
    HeldBudget &budget = entry.second;
    const Instant now = m_timers.now();
    const HeldPortion &current = budget.current();
    // While requests wait, the existing portion grows instead, because one request cannot be served from the rest of an
    // old portion and a new one together.
    const bool isFresh = current.number == 0 || (isOld(current) && !budget.hasWaiting());
    const std::uint32_t number = isFresh ? ++m_lastNumber : current.number;
    const auto change = std::make_shared<TakePortionChange>(entry.first, portionRequest(budget, number));
    PendingTake take{number, now, 0};
    if (!isFresh) {
        take.granted = current.granted;
        budget.current().sequence += 1;
    }
    budget.isTakePending = true;
    budget.lastTakeAt = now;
    ++m_portions;
    m_ledger.submit(entry.first, change, urgency,
                    [this, alive = std::weak_ptr<int>(m_alive), &entry, change, take](const absl::Status &status) {
                        if (!alive.expired()) {
                            handleTaken(entry, *change, take, status);
                        }
                    });
}

PortionRequest BudgetHolder::portionRequest(const HeldBudget &budget, std::uint32_t number) const
{
    const HeldPortion &current = budget.current();
    const std::int64_t target = budget.targetSize(m_timers.now(), m_settings);
    PortionRequest request;
    request.portion = portionId(number);
    request.holder = m_settings.incarnation;
    request.region = m_settings.region;
    request.sequence = number == current.number ? current.sequence + 1 : 1;
    request.needed =
        std::max<std::int64_t>(budget.shortage(m_ledger.isStoreUnavailable(budget.shard()), m_settings), 0);
    request.smallestUseful = budget.smallestUseful();
    const bool isGrowing = number == current.number;
    const std::int64_t held = isGrowing ? std::max<std::int64_t>(current.available(), 0) : 0;
    request.desired = std::max(request.needed + target - held, request.needed);
    request.shareOfFree = budget.isStandIn ? m_settings.standInShareOfFree : m_settings.shareOfFree;
    request.atMilliseconds = m_timers.wallClockMilliseconds();
    return request;
}

void BudgetHolder::handleTaken(Entry &entry, const TakePortionChange &change, const PendingTake &take,
                               const absl::Status &status)
{
    HeldBudget &budget = entry.second;
    budget.isTakePending = false;
    --m_portions;
    if (status.ok()) {
        budget.isUnknown = false;
        budget.lastFree = change.snapshot().free;
        budget.lastPaid = change.snapshot().paid;
        budget.lastFreeAt = m_timers.now();
        applyGrant(entry, change, take);
        if (change.snapshot().free < change.request().smallestUseful && m_listener) {
            m_listener->handleExhausted(entry.first, change.snapshot());
        }
    } else if (failureCode(status) == FailureCode::PortionClosed) {
        dropLostPortion(entry, take.number);
    } else if (failureCode(status) == FailureCode::BudgetUnknown) {
        budget.isUnknown = true;
        budget.lastFree = 0;
        budget.lastFreeAt = m_timers.now();
    } else {
        refuseAll(entry,
                  makeFailure(FailureCode::BudgetUnavailable, std::string(status.message()),
                              m_settings.unavailableRetryAfter));
    }
    if (m_isStopping) {
        if (budget.current().number != 0) {
            retirePortion(entry, budget.replaceCurrent({}));
        }
        return checkStopped();
    }
    evaluate(entry);
}

void BudgetHolder::applyGrant(Entry &entry, const TakePortionChange &change, const PendingTake &take)
{
    if (change.granted() == 0) {
        return;
    }
    HeldPortion &current = entry.second.current();
    if (current.number == take.number) {
        // Parts of the portion may have been returned since the change was submitted, so only the added tokens count.
        const std::int64_t added = change.granted() - take.granted;
        current.granted += added;
        current.confirmedAt = std::max(current.confirmedAt, take.at);
        if (added > 0 && m_listener) {
            m_listener->handleTaken(entry.first, current, added, change.snapshot());
        }
        return;
    }
    ++m_portions;
    HeldPortion fresh;
    fresh.number = take.number;
    fresh.sequence = static_cast<std::uint32_t>(change.request().sequence);
    fresh.granted = change.granted();
    fresh.takenAt = take.at;
    fresh.confirmedAt = take.at;
    if (m_listener) {
        m_listener->handleTaken(entry.first, fresh, fresh.granted, change.snapshot());
    }
    const HeldPortion before = entry.second.replaceCurrent(fresh);
    if (before.number != 0) {
        retirePortion(entry, before);
    }
}

void BudgetHolder::dropLostPortion(Entry &entry, std::uint32_t number)
{
    // Another process has closed the portion because it considered this process dead. Requests that run on the portion
    // continue: the agents keep their charges, and the closer counts them. Nothing more is reserved against it.
    if (entry.second.find(number)) {
        entry.second.remove(number);
        --m_portions;
        checkStopped();
    }
}

void BudgetHolder::retirePortion(Entry &entry, HeldPortion portion)
{
    if (portion.reserved == 0) {
        return returnWhole(entry, portion);
    }
    const std::int64_t surplus = portion.available();
    if (surplus > 0) {
        returnPart(entry, portion, surplus);
    }
    entry.second.addDraining(portion);
}

void BudgetHolder::returnWhole(Entry &entry, const HeldPortion &portion)
{
    const auto change = std::make_shared<ReturnPortionChange>(entry.first, portionId(portion.number), portion.spent);
    notifyReturned(entry, portion, portion.available());
    const bool isAwaited = m_isStopping || entry.second.hasWaiting();
    const Urgency urgency = isAwaited ? Urgency::Urgent : backgroundUrgency(entry.second);
    entry.second.pendingChanges += 1;
    m_ledger.submit(entry.first, change, urgency,
                    [this, alive = std::weak_ptr<int>(m_alive), &entry](const absl::Status &) {
                        if (alive.expired()) {
                            return;
                        }
                        // If a closer has closed the portion in the meantime, it is gone as well, so the status does
                        // not matter.
                        entry.second.pendingChanges -= 1;
                        entry.second.lastFreeAt = Instant::min();
                        --m_portions;
                        evaluate(entry);
                        checkStopped();
                    });
}

void BudgetHolder::notifyReturned(const Entry &entry, const HeldPortion &portion, std::int64_t tokens)
{
    if (m_listener) {
        m_listener->handleReturned(entry.first, portion, tokens);
    }
}

void BudgetHolder::returnIfDrained(Entry &entry, const HeldPortion &portion)
{
    if (&portion == &entry.second.current() || portion.reserved > 0) {
        return;
    }
    const HeldPortion drained = portion;
    entry.second.remove(drained.number);
    returnWhole(entry, drained);
}

void BudgetHolder::returnPart(Entry &entry, HeldPortion &portion, std::int64_t tokens)
{
    portion.granted -= tokens;
    portion.sequence += 1;
    notifyReturned(entry, portion, tokens);
    submitInBackground(entry, portion.number,
                       std::make_shared<ReturnPortionChange>(entry.first, portionId(portion.number), portion.spent,
                                                             portion.sequence, portion.granted));
}

void BudgetHolder::withholdPart(Entry &entry, HeldPortion &portion, std::int64_t tokens, const RequestId &request)
{
    portion.granted -= tokens;
    portion.sequence += 1;
    const std::string reason = "nobody can prove what request " + request.value() + " used";
    submitInBackground(entry, portion.number,
                       std::make_shared<WithholdPartChange>(entry.first, portionId(portion.number), portion.sequence,
                                                            tokens, reason, m_timers.wallClockMilliseconds()));
}

void BudgetHolder::submitInBackground(Entry &entry, std::uint32_t number, std::shared_ptr<LedgerChange> change)
{
    entry.second.pendingChanges += 1;
    m_ledger.submit(entry.first, std::move(change), m_isStopping ? Urgency::Urgent : backgroundUrgency(entry.second),
                    [this, alive = std::weak_ptr<int>(m_alive), &entry, number](const absl::Status &status) {
                        if (alive.expired()) {
                            return;
                        }
                        entry.second.pendingChanges -= 1;
                        if (isPortionLost(status)) {
                            dropLostPortion(entry, number);
                        }
                    });
}

void BudgetHolder::handleStoreUnavailable(std::uint32_t shard)
{
    const absl::flat_hash_set<Entry *> withWaiting = m_withWaiting;
    for (Entry *entry : withWaiting) {
        if (entry->second.shard() == shard) {
            evaluate(*entry);
        }
    }
}

void BudgetHolder::checkStopped()
{
    if (m_isStopping && m_portions == 0 && m_onStopped) {
        m_tasks.post(std::exchange(m_onStopped, nullptr));
    }
}

PortionId BudgetHolder::portionId(std::uint32_t number) const
{
    return PortionId(m_settings.incarnation.value() + "-" + std::to_string(number));
}

}
