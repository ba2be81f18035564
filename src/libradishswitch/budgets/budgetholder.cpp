#include "budgets/budgetholder.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

BudgetHolder::BudgetHolder(Ledger &ledger, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                           BudgetHolderSettings settings)
    : m_ledger(ledger)
    , m_timers(timers)
    , m_tasks(tasks)
    , m_random(random)
    , m_settings(std::move(settings))
{
    m_ledger.setStoreStateCallback([this](std::uint32_t shard, bool isUnavailable) {
        if (isUnavailable) {
            handleStoreUnavailable(shard);
        }
    });
    m_ledger.setRoundCallback([this](std::uint32_t shard) {
        handleRound(shard);
    });
    m_wheelTimer = m_timers.every(m_settings.checkpointInterval / kWheelSlots, [this] {
        checkpointSlot();
    });
}

BudgetHolder::~BudgetHolder()
{
    m_ledger.setStoreStateCallback(nullptr);
    m_ledger.setRoundCallback(nullptr);
    m_timers.cancel(m_wheelTimer);
    for (Entry *entry : m_withWaiting) {
        for (const WaitingReservation &it : entry->second.waiting()) {
            m_timers.cancel(it.timer);
        }
    }
}

void BudgetHolder::setListener(BudgetHolderListener *listener)
{
    m_listener = listener;
}

void BudgetHolder::reserve(const ReservationRequest &request, ReservationCallback callback)
{
    if (request.tokens < 1) {
        return answer(std::move(callback),
                      makeFailure(FailureCode::InvalidRequest, "a reservation needs at least 1 token"));
    }
    if (const auto it = m_open.find(request.request); it != m_open.end()) {
        const HeldPortion *portion = it->second.entry->second.find(it->second.portion);
        const Instant confirmedAt = portion ? portion->confirmedAt : Instant::min();
        return answer(std::move(callback), Reservation{portionId(it->second.portion), it->second.tokens, confirmedAt});
    }
    if (m_isStopping) {
        return answer(std::move(callback), makeFailure(FailureCode::Draining, "this process is stopping"));
    }
    Entry &entry = entryOf(request.budget);
    HeldBudget &budget = entry.second;
    budget.noteReserved(request.tokens, m_timers.now());
    budget.isStandIn = request.isStandIn;
    noteStoreState(budget);
    if (budget.hasWaiting() || !isGrantable(budget, request)) {
        return wait(entry, request, std::move(callback));
    }
    answer(std::move(callback), grant(entry, request.request, request.tokens));
    takeIfLow(entry);
}

absl::Status BudgetHolder::settle(const RequestId &request, std::int64_t chargedTokens)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        return absl::OkStatus();
    }
    const Open open = it->second;
    m_open.erase(it);
    if (chargedTokens < 0 || chargedTokens > open.tokens) {
        close(open, open.tokens);
        return makeFailure(FailureCode::InvalidRequest, "the charge is negative or exceeds the reservation");
    }
    close(open, chargedTokens);
    return absl::OkStatus();
}

void BudgetHolder::release(const RequestId &request)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        return;
    }
    const Open open = it->second;
    m_open.erase(it);
    close(open, 0);
}

void BudgetHolder::withhold(const RequestId &request)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        return;
    }
    const Open open = it->second;
    m_open.erase(it);
    Entry &entry = *open.entry;
    entry.second.openReservations -= 1;
    HeldPortion *portion = entry.second.find(open.portion);
    if (!portion) {
        // A closer has taken the portion over; it withholds the tokens that the agents cannot prove.
        return;
    }
    portion->reserved -= open.tokens;
    withholdPart(entry, *portion, open.tokens, request);
    returnIfDrained(entry, *portion);
    if (entry.second.hasWaiting()) {
        evaluate(entry);
    }
}

void BudgetHolder::replacePortions()
{
    m_replaceTakenBefore = m_timers.now();
    // No run may be sent to a new agent before the ledger has confirmed the portion again. When all agents of a pool
    // restart, no request could run until the next checkpoint without this report.
    for (Entry &entry : m_budgets) {
        const HeldPortion current = entry.second.current();
        if (current.number != 0 && m_timers.now() - entry.second.lastUsedAt() < m_settings.idleTime) {
            submitReport(entry, current, Urgency::Urgent);
        }
    }
}

void BudgetHolder::notePayment(const BudgetId &budget)
{
    const auto it = m_budgets.find(budget);
    if (it != m_budgets.end()) {
        it->second.lastFreeAt = Instant::min();
        it->second.isUnknown = false;
    }
}

void BudgetHolder::stop(std::function<void()> callback)
{
    m_isStopping = true;
    m_onStopped = std::move(callback);
    const absl::flat_hash_set<Entry *> withWaiting = m_withWaiting;
    for (Entry *entry : withWaiting) {
        refuseAll(*entry, makeFailure(FailureCode::Draining, "this process is stopping"));
    }
    for (Entry &entry : m_budgets) {
        HeldBudget &budget = entry.second;
        if (!budget.isTakePending && budget.current().number != 0) {
            retirePortion(entry, budget.replaceCurrent({}));
        }
    }
    checkStopped();
}

std::optional<HeldBudgetStatus> BudgetHolder::budgetStatus(const BudgetId &budget) const
{
    const auto it = m_budgets.find(budget);
    if (it == m_budgets.end()) {
        return std::nullopt;
    }
    const HeldBudget &held = it->second;
    HeldBudgetStatus status;
    status.budget = budget;
    const auto add = [&](const HeldPortion &portion, bool isDraining) {
        status.portions.push_back(
            {portionId(portion.number), portion.granted, portion.spent, portion.reserved, isDraining});
    };
    if (held.current().number != 0) {
        add(held.current(), false);
    }
    for (const HeldPortion &portion : held.draining()) {
        add(portion, true);
    }
    status.available = held.current().available();
    status.waiting = held.waitingCount();
    status.tokensPerSecond = held.tokensPerSecond(m_timers.now(), m_settings);
    status.isStoreUnavailable = m_ledger.isStoreUnavailable(held.shard());
    return status;
}

std::vector<HeldBudgetStatus> BudgetHolder::statuses() const
{
    std::vector<HeldBudgetStatus> found;
    for (const Entry &entry : m_budgets) {
        found.push_back(*budgetStatus(entry.first));
    }
    return found;
}

std::vector<OpenReservation> BudgetHolder::openReservations(const BudgetId &budget) const
{
    std::vector<OpenReservation> found;
    for (const auto &[request, open] : m_open) {
        if (open.entry->first == budget) {
            const HeldPortion *portion = open.entry->second.find(open.portion);
            const Instant confirmedAt = portion ? portion->confirmedAt : Instant::min();
            found.push_back({request, budget, {portionId(open.portion), open.tokens, confirmedAt}});
        }
    }
    std::sort(found.begin(), found.end(), [](const OpenReservation &a, const OpenReservation &b) {
        return a.request < b.request;
    });
    return found;
}

std::size_t BudgetHolder::openReservationCount() const
{
    return m_open.size();
}

BudgetHolder::Entry &BudgetHolder::entryOf(const BudgetId &budget)
{
    const auto found = m_budgets.find(budget);
    if (found != m_budgets.end()) {
        return *found;
    }
    Entry &entry = *m_budgets.try_emplace(budget, m_ledger.shardOf(budget), m_timers.now()).first;
    m_wheel[m_random.below(kWheelSlots)].push_back(&entry);
    m_budgetsByShard[entry.second.shard()].push_back(&entry);
    return entry;
}

Reservation BudgetHolder::grant(Entry &entry, const RequestId &request, std::int64_t tokens)
{
    HeldPortion &portion = entry.second.current();
    portion.reserved += tokens;
    entry.second.openReservations += 1;
    m_open.emplace(request, Open{&entry, portion.number, tokens});
    return Reservation{portionId(portion.number), tokens, portion.confirmedAt};
}

void BudgetHolder::wait(Entry &entry, const ReservationRequest &request, ReservationCallback callback)
{
    if (entry.second.waitingCount() >= m_settings.maximumWaiting) {
        return answer(std::move(callback),
                      makeFailure(FailureCode::BudgetExhausted, "too many requests wait for this budget",
                                  m_settings.exhaustedRetryAfter));
    }
    const TimerId timer = m_timers.after(request.deadline - m_timers.now(), [this, &entry, id = request.request] {
        handleDeadline(entry, id);
    });
    entry.second.waiting().push_back({request, std::move(callback), timer});
    m_withWaiting.insert(&entry);
    evaluate(entry);
}

void BudgetHolder::handleDeadline(Entry &entry, const RequestId &request)
{
    std::deque<WaitingReservation> &waiting = entry.second.waiting();
    const auto it = std::find_if(waiting.begin(), waiting.end(), [&](const WaitingReservation &it) {
        return it.request.request == request;
    });
    if (it == waiting.end()) {
        return;
    }
    // The ledger is asked repeatedly about an exhausted budget. If its previous answer reported too few tokens, the
    // request is refused as exhausted rather than as late, although an answer is still pending.
    const bool isLate = entry.second.isTakePending && !wasRecentlyInsufficient(entry.second, it->request);
    answer(std::move(it->callback),
           isLate ? makeFailure(FailureCode::LedgerLate, "the ledger did not answer in time",
                                m_settings.unavailableRetryAfter)
                  : makeFailure(FailureCode::BudgetExhausted, "no tokens became free before the deadline",
                                m_settings.exhaustedRetryAfter));
    waiting.erase(it);
    evaluate(entry);
}

void BudgetHolder::evaluate(Entry &entry)
{
    serveWaiting(entry);
    refuseUnservable(entry);
    if (!entry.second.hasWaiting()) {
        m_withWaiting.erase(&entry);
        entry.second.releaseUnused();
        return;
    }
    if (entry.second.isTakePending || entry.second.pendingChanges > 0) {
        m_ledger.expedite(entry.second.shard());
    }
    const bool isWorthAsking =
        !isLastFreeCurrent(entry.second) || entry.second.lastFree >= entry.second.smallestUseful();
    if (!entry.second.isTakePending && isWorthAsking) {
        submitTake(entry, Urgency::Urgent);
    }
}

void BudgetHolder::serveWaiting(Entry &entry)
{
    HeldBudget &budget = entry.second;
    if (!budget.hasWaiting()) {
        return;
    }
    const bool mayOvertake = !mayReceiveMore(budget);
    bool isBlocked = false;
    std::deque<WaitingReservation> kept;
    for (WaitingReservation &it : budget.waiting()) {
        const bool isItsTurn = !isBlocked || mayOvertake;
        if (!isItsTurn || !isGrantable(budget, it.request)) {
            // A request that is held back for the headroom does not block later requests that may use the headroom.
            isBlocked |= leavesHeadroom(budget, it.request);
            kept.push_back(std::move(it));
            continue;
        }
        m_timers.cancel(it.timer);
        answer(std::move(it.callback), grant(entry, it.request.request, it.request.tokens));
    }
    budget.waiting() = std::move(kept);
    if (!budget.hasWaiting()) {
        takeIfLow(entry);
    }
}

bool BudgetHolder::wasRecentlyInsufficient(const HeldBudget &budget, const ReservationRequest &request) const
{
    const std::int64_t missing = request.tokens - std::max<std::int64_t>(budget.current().available(), 0);
    return isLastFreeRecent(budget) && budget.lastFree < missing;
}

// While the ledger may still grant enough, waiting requests are served in order; otherwise small requests would use up
// each grant before a large one has enough. Once no more can come, a large request can only wait for open reservations
// to end, and small requests may overtake it. When they waited behind it until their deadlines, 150 of 250 requests per
// second were refused as late, although most of them would have fitted.
bool BudgetHolder::mayReceiveMore(const HeldBudget &budget) const
{
    if (m_ledger.isStoreUnavailable(budget.shard())) {
        return false;
    }
    return budget.isTakePending || !isLastFreeCurrent(budget) || budget.lastFree >= budget.smallestUseful();
}

void BudgetHolder::refuseUnservable(Entry &entry)
{
    if (!entry.second.hasWaiting()) {
        return;
    }
    std::deque<WaitingReservation> kept;
    for (WaitingReservation &it : entry.second.waiting()) {
        const std::optional<absl::Status> refusal = refusalOf(entry, it.request);
        if (!refusal) {
            kept.push_back(std::move(it));
            continue;
        }
        m_timers.cancel(it.timer);
        answer(std::move(it.callback), *refusal);
    }
    entry.second.waiting() = std::move(kept);
}

bool BudgetHolder::isGrantable(const HeldBudget &budget, const ReservationRequest &request) const
{
    return budget.current().available() >= request.tokens && leavesHeadroom(budget, request);
}

bool BudgetHolder::leavesHeadroom(const HeldBudget &budget, const ReservationRequest &request) const
{
    return budget.leavesHeadroom(request, m_ledger.isStoreUnavailable(budget.shard()), m_settings);
}

void BudgetHolder::noteStoreState(HeldBudget &budget) const
{
    if (!m_ledger.isStoreUnavailable(budget.shard())) {
        budget.availableAtOutage.reset();
    } else if (!budget.availableAtOutage) {
        budget.availableAtOutage = budget.current().available();
    }
}

std::optional<absl::Status> BudgetHolder::refusalOf(const Entry &entry, const ReservationRequest &request) const
{
    const HeldBudget &budget = entry.second;
    const std::int64_t missing = request.tokens - budget.maximumAvailable();
    const bool isHeldBack = !leavesHeadroom(budget, request);
    if (missing <= 0 && !isHeldBack) {
        return std::nullopt;
    }
    if (m_ledger.isStoreUnavailable(budget.shard())) {
        return makeFailure(FailureCode::BudgetUnavailable,
                           "the ledger is unavailable and the portion of this process is used up",
                           m_settings.unavailableRetryAfter);
    }
    if (budget.isTakePending || !isLastFreeCurrent(budget)) {
        return std::nullopt;
    }
    if (budget.isUnknown) {
        return makeFailure(FailureCode::BudgetUnknown, "no budget " + entry.first.toString());
    }
    if (budget.lastFree < missing) {
        return makeFailure(FailureCode::BudgetExhausted, "budget " + entry.first.toString() + " is exhausted",
                           m_settings.exhaustedRetryAfter);
    }
    if (!isHeldBack) {
        return std::nullopt;
    }
    return makeFailure(FailureCode::BudgetLow,
                       "what is left of " + entry.first.toString() + " is reserved for urgent and small calls",
                       m_settings.lowRetryAfter);
}

void BudgetHolder::refuseAll(Entry &entry, const absl::Status &status)
{
    std::deque<WaitingReservation> waiting = std::exchange(entry.second.waiting(), {});
    m_withWaiting.erase(&entry);
    for (WaitingReservation &it : waiting) {
        m_timers.cancel(it.timer);
        answer(std::move(it.callback), status);
    }
}

void BudgetHolder::close(const Open &open, std::int64_t chargedTokens)
{
    Entry &entry = *open.entry;
    entry.second.openReservations -= 1;
    if (chargedTokens > 0) {
        entry.second.noteSpent(chargedTokens, m_timers.now(), m_settings);
    }
    HeldPortion *portion = entry.second.find(open.portion);
    if (!portion) {
        // A closer has taken the portion over; it counts the charge from the records of the agents.
        return;
    }
    portion->reserved -= open.tokens;
    portion->spent += chargedTokens;
    returnIfDrained(entry, *portion);
    if (entry.second.hasWaiting()) {
        evaluate(entry);
    }
}

void BudgetHolder::answer(ReservationCallback callback, absl::StatusOr<Reservation> result)
{
    m_tasks.post([callback = std::move(callback), result = std::move(result)] {
        callback(result);
    });
}

}
