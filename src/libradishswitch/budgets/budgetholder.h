#pragma once

#include "budgets/budgetholderlistener.h"
#include "budgets/heldbudget.h"
#include "budgets/ledger.h"
#include "budgets/reportspendchange.h"
#include "budgets/takeportionchange.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>

#include <array>
#include <optional>

namespace RadishSwitch
{

/// The state of one budget at a holder, for status pages and tests. Amounts are tokens.
struct HeldBudgetStatus {
    struct Portion {
        PortionId portion;
        std::int64_t granted = 0;
        std::int64_t spent = 0;
        std::int64_t reserved = 0;
        bool isDraining = false;

        bool operator==(const Portion &) const = default;
    };

    BudgetId budget;
    std::vector<Portion> portions;
    /// Tokens that can be reserved without asking the ledger.
    std::int64_t available = 0;
    std::size_t waiting = 0;
    double tokensPerSecond = 0;
    bool isStoreUnavailable = false;

    bool operator==(const HeldBudgetStatus &) const = default;
};

/// An open reservation: granted, and neither settled nor released.
struct OpenReservation {
    RequestId request;
    BudgetId budget;
    Reservation reservation;

    bool operator==(const OpenReservation &) const = default;
};

/// Reserves and settles tokens against portions of budgets that this process has taken from the ledger.
///
/// Every reservation lies entirely within one portion, and a portion only ever belongs to one incarnation of one
/// process. Tokens that are reserved here therefore cannot be reserved elsewhere, however long the process is paused or
/// disconnected. The class is single-threaded; the ledger calls its callbacks in the same context. The results of
/// reservations are delivered through the task queue.
class BudgetHolder
{
public:
    BudgetHolder(Ledger &ledger, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                 BudgetHolderSettings settings);
    ~BudgetHolder();

    BudgetHolder(const BudgetHolder &) = delete;
    BudgetHolder &operator=(const BudgetHolder &) = delete;

    /// Sets the listener; null removes it. The listener must outlive the holder or be removed before it is destroyed.
    void setListener(BudgetHolderListener *listener);

    /// Reserves the upper bound of what a request can cost. The request waits, at most until its deadline, while a
    /// ledger request is pending or while open reservations could still free enough tokens. It is refused at once when
    /// neither can help.
    ///
    /// For a request id that has an open reservation the callback gets the same reservation again. Errors:
    /// BudgetExhausted, BudgetLow, BudgetUnavailable and LedgerLate with the time after which to retry; BudgetUnknown;
    /// InvalidRequest for less than one token; Draining after `stop`.
    void reserve(const ReservationRequest &request, ReservationCallback callback);

    /// Ends a reservation by charging `chargedTokens`, and frees the rest. A second call for the same request has no
    /// effect. When the charge is negative or exceeds the reservation, the whole reservation is charged and
    /// InvalidRequest is returned.
    absl::Status settle(const RequestId &request, std::int64_t chargedTokens);

    /// Ends the reservation of a request that did not run, and frees its tokens. A second call for the same request has
    /// no effect.
    void release(const RequestId &request);

    /// Ends a reservation without billing it, because the tokens that the request used cannot be determined. The tokens
    /// stay unavailable and are shown in the ledger as withheld until an operator releases them. A second call for the
    /// same request has no effect.
    void withhold(const RequestId &request);

    /// Replaces the current portions by new ones at their next checkpoints. Call it when an agent is lost: the charges
    /// of that agent are then known only to this process. A portion that this process returns itself needs no proof by
    /// the agents.
    void replacePortions();

    /// Discards the last known free amount of a budget, because a payment to it has been submitted to the ledger.
    void notePayment(const BudgetId &budget);

    /// Stops the holder: refuses new reservations, waits for the open ones, returns every portion to the ledger and
    /// then calls `callback`.
    void stop(std::function<void()> callback);

    /// The state of a budget at this holder; nothing when the holder does not know the budget.
    std::optional<HeldBudgetStatus> budgetStatus(const BudgetId &budget) const;

    /// The state of every budget that this holder knows.
    std::vector<HeldBudgetStatus> statuses() const;

    std::vector<OpenReservation> openReservations(const BudgetId &budget) const;

    /// The number of open reservations of all budgets.
    std::size_t openReservationCount() const;

private:
    static constexpr std::size_t kWheelSlots = 8;

    using BudgetMap = absl::node_hash_map<BudgetId, HeldBudget>;
    using Entry = BudgetMap::value_type;

    struct Open {
        Entry *entry;
        std::uint32_t portion;
        std::int64_t tokens;
    };

    /// A TakePortionChange that was submitted: the number of the portion, the time of submission, and the tokens that
    /// the holder had in the portion then.
    struct PendingTake {
        std::uint32_t number = 0;
        Instant at{};
        std::int64_t granted = 0;
    };

    // Implemented in budgetholder.cpp: requests.
    Entry &entryOf(const BudgetId &budget);
    Reservation grant(Entry &entry, const RequestId &request, std::int64_t tokens);
    void wait(Entry &entry, const ReservationRequest &request, ReservationCallback callback);
    void handleDeadline(Entry &entry, const RequestId &request);
    void evaluate(Entry &entry);
    void serveWaiting(Entry &entry);
    bool mayReceiveMore(const HeldBudget &budget) const;
    void noteStoreState(HeldBudget &budget) const;
    bool isGrantable(const HeldBudget &budget, const ReservationRequest &request) const;
    bool leavesHeadroom(const HeldBudget &budget, const ReservationRequest &request) const;
    void refuseUnservable(Entry &entry);
    std::optional<absl::Status> refusalOf(const Entry &entry, const ReservationRequest &request) const;
    void refuseAll(Entry &entry, const absl::Status &status);
    void close(const Open &open, std::int64_t chargedTokens);
    void answer(ReservationCallback callback, absl::StatusOr<Reservation> result);

    // Implemented in budgetholderledger.cpp: changes submitted to the ledger and their results.

    /// Whether a change failed because the portion no longer belongs to this holder.
    static bool isPortionLost(const absl::Status &status);
    bool isLastFreeCurrent(const HeldBudget &budget) const;
    bool isLastFreeRecent(const HeldBudget &budget) const;
    /// Whether the ledger recently reported fewer free tokens than the request lacks here.
    bool wasRecentlyInsufficient(const HeldBudget &budget, const ReservationRequest &request) const;
    bool isLow(const HeldBudget &budget) const;
    Urgency backgroundUrgency(const HeldBudget &budget) const;
    void takeIfLow(Entry &entry);
    void submitTake(Entry &entry, Urgency urgency);
    void handleRound(std::uint32_t shard);
    bool mayRideAlong(const HeldBudget &budget) const;
    PortionRequest portionRequest(const HeldBudget &budget, std::uint32_t number) const;
    void handleTaken(Entry &entry, const TakePortionChange &change, const PendingTake &take,
                     const absl::Status &status);
    void applyGrant(Entry &entry, const TakePortionChange &change, const PendingTake &take);
    void dropLostPortion(Entry &entry, std::uint32_t number);
    void retirePortion(Entry &entry, HeldPortion portion);
    void returnWhole(Entry &entry, const HeldPortion &portion);
    void notifyReturned(const Entry &entry, const HeldPortion &portion, std::int64_t tokens);
    void returnPart(Entry &entry, HeldPortion &portion, std::int64_t tokens);
    void withholdPart(Entry &entry, HeldPortion &portion, std::int64_t tokens, const RequestId &request);
    void submitInBackground(Entry &entry, std::uint32_t number, std::shared_ptr<LedgerChange> change);
    void returnIfDrained(Entry &entry, const HeldPortion &portion);
    void handleStoreUnavailable(std::uint32_t shard);
    void checkStopped();
    PortionId portionId(std::uint32_t number) const;

    // Implemented in budgetholdercheckpoints.cpp: the periodic check of each budget.
    void checkpointSlot();
    void checkpoint(Entry &entry);
    bool isReportDue(const HeldBudget &budget, const HeldPortion &portion) const;
    void report(Entry &entry, const HeldPortion &portion);
    void submitReport(Entry &entry, const HeldPortion &portion, Urgency urgency);
    void handleReported(Entry &entry, const ReportSpendChange &change, std::uint32_t number, Instant submittedAt,
                        const absl::Status &status);
    bool isOld(const HeldPortion &portion) const;
    void replaceIfOld(Entry &entry);
    void returnSurplus(Entry &entry, const BudgetSnapshot &snapshot);
    bool isRemovable(const HeldBudget &budget) const;

    Ledger &m_ledger;
    TimerService &m_timers;
    TaskQueue &m_tasks;
    RandomSource &m_random;
    BudgetHolderSettings m_settings;
    BudgetMap m_budgets;
    absl::flat_hash_map<std::uint32_t, std::vector<Entry *>> m_budgetsByShard;
    absl::flat_hash_map<RequestId, Open> m_open;
    absl::flat_hash_set<Entry *> m_withWaiting;
    /// Timer wheel: each budget is checked once per checkpoint interval, one slot (an eighth of the budgets) at a time.
    std::array<std::vector<Entry *>, kWheelSlots> m_wheel;
    std::size_t m_wheelSlot = 0;
    TimerId m_wheelTimer = 0;
    std::uint32_t m_lastNumber = 0;
    /// Portions that are held, or that are being taken or returned.
    std::size_t m_portions = 0;
    std::function<void()> m_onStopped;
    BudgetHolderListener *m_listener = nullptr;
    bool m_isStopping = false;
    Instant m_replaceTakenBefore = Instant::min();
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
