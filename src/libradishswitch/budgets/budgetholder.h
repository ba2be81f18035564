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

/// How a holder stands with one budget, for status pages and tests. Amounts are tokens.
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
    /// What can be reserved at once.
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

/// Reserves and settles against portions of budgets that this process has taken from the ledger.
///
/// Every reservation lies wholly inside one portion, and a portion belongs to one incarnation of one process for ever:
/// what is reserved here can be reserved nowhere else, however long the process is paused or cut off. Single-threaded;
/// the ledger's callbacks come under the same guard. Answers go out through the task queue.
class BudgetHolder
{
public:
    BudgetHolder(Ledger &ledger, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                 BudgetHolderSettings settings);
    ~BudgetHolder();

    BudgetHolder(const BudgetHolder &) = delete;
    BudgetHolder &operator=(const BudgetHolder &) = delete;

    /// Null for none. The listener must outlive the holder or be taken away before.
    void setListener(BudgetHolderListener *listener);

    /// Sets the worst case of a request aside. Waits, until the request's deadline, while the ledger is asked or while
    /// open reservations here can still free enough; answers at once when neither can help.
    ///
    /// A request id that has an open reservation gets the same one again. Errors: BudgetExhausted, BudgetLow,
    /// BudgetUnavailable and LedgerLate with the time to come back, BudgetUnknown, InvalidRequest for less than one
    /// token, Draining after `stop`.
    void reserve(const ReservationRequest &request, ReservationCallback callback);

    /// Ends a reservation with what the request was charged, and frees the rest. Again for the same request it does
    /// nothing. InvalidRequest, and all that was reserved is charged, for a charge outside what was reserved.
    absl::Status settle(const RequestId &request, std::int64_t chargedTokens);

    /// Ends the reservation of a request that did not run. Again for the same request it does nothing.
    void release(const RequestId &request);

    /// Ends a reservation without billing it: nobody can prove what was used. Its tokens go out of use, and show up in
    /// the ledger as withheld until an operator releases them. Again for the same request it does nothing.
    void withhold(const RequestId &request);

    /// Replaces the portions held now by fresh ones at their next checkpoints. To be called when an agent is lost: its
    /// charges are known here and nowhere else, and a portion that ends in this process's hands needs no proof.
    void replacePortions();

    /// A payment is on its way to the ledger: that it had too little says nothing any more.
    void notePayment(const BudgetId &budget);

    /// Planned stop: refuses new reservations, waits for the open ones, returns every portion, then calls back.
    void stop(std::function<void()> callback);

    /// How the holder stands with a budget; nothing when it holds none of it.
    std::optional<HeldBudgetStatus> budgetStatus(const BudgetId &budget) const;

    /// The same for all budgets that the holder knows.
    std::vector<HeldBudgetStatus> statuses() const;

    /// The open reservations of one budget.
    std::vector<OpenReservation> openReservations(const BudgetId &budget) const;

    /// Open reservations over all budgets.
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

    /// What was asked of the ledger: which portion, when, and what the holder had of it by then.
    struct PendingTake {
        std::uint32_t number = 0;
        Instant at{};
        std::int64_t granted = 0;
    };

    // budgetholder.cpp: requests.
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

    // budgetholderledger.cpp: what goes to the ledger and comes back.
    /// Whether a change failed since its portion is the holder's no longer.
    static bool isPortionLost(const absl::Status &status);
    bool isLastFreeCurrent(const HeldBudget &budget) const;
    bool isLastFreeRecent(const HeldBudget &budget) const;
    /// Whether the ledger has said lately that it has less than the request lacks here.
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

    // budgetholdercheckpoints.cpp: each budget is looked at now and then.
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
    /// Each budget is looked at once per checkpoint interval, an eighth of them at a time.
    std::array<std::vector<Entry *>, kWheelSlots> m_wheel;
    std::size_t m_wheelSlot = 0;
    TimerId m_wheelTimer = 0;
    std::uint32_t m_lastNumber = 0;
    /// Portions that are held or on their way here or back.
    std::size_t m_portions = 0;
    std::function<void()> m_onStopped;
    BudgetHolderListener *m_listener = nullptr;
    bool m_isStopping = false;
    Instant m_replaceTakenBefore = Instant::min();
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
