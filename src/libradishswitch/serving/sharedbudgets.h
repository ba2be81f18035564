#pragma once

#include "randomsource.h"
#include "serving/budgetpeerport.h"
#include "serving/homedirectory.h"
#include "serving/tokenadvances.h"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace RadishSwitch
{

/// Where a gateway's own portions are reserved against.
class LocalBudgets
{
public:
    virtual ~LocalBudgets() = default;

    /// As BudgetHolder::reserve.
    virtual void reserveHere(const ReservationRequest &request, ReservationCallback callback) = 0;
    /// Whether the ledger is known not to answer this gateway.
    virtual bool isLedgerAway(const BudgetId &budget) const = 0;
    virtual void settleHere(const RequestId &call, std::int64_t usedTokens) = 0;
};

struct SharedBudgetsSettings {
    /// As in LedgerSettings.
    std::uint32_t ledgerShards = 64;
    /// A home that does not answer in this time is passed over. It may have to ask the ledger first, which takes some
    /// tens of milliseconds; a call's first answer is due in 250.
    Duration peerTimeout = std::chrono::milliseconds(120);
    /// The same for an advance, which no call waits for: a home may have to wait for a slow ledger.
    Duration advanceTimeout = std::chrono::seconds(1);
    /// How often advances that are used up or too large are settled.
    Duration upkeepInterval = std::chrono::milliseconds(500);
    TokenAdvancesSettings advances;
};

/// Reserves tokens out of this gateway's advances, or at the home of each budget, and falls back to other gateways and
/// to this one's own portions while the home can't be reached or has nothing left.
///
/// With a portion at each gateway a small budget would lie in pieces too small for one request, and all gateways would
/// write its record at once. One home for all budgets of a shard of the ledger keeps each budget whole and its object
/// in one hand. Any number of homes at a time is safe, since each holds portions of its own.
class SharedBudgets
{
public:
    SharedBudgets(HomeDirectory &homes, LocalBudgets &local, BudgetPeerPort &peers, TimerService &timers,
                  RandomSource &random, SharedBudgetsSettings settings = {});
    ~SharedBudgets();

    SharedBudgets(const SharedBudgets &) = delete;
    SharedBudgets &operator=(const SharedBudgets &) = delete;

    /// Sets the worst case of a call aside. Errors as BudgetHolder::reserve.
    void reserve(const ReservationRequest &request, std::function<void(absl::Status)> callback);

    /// Ends a call's reservation, wherever it is, with what the call used.
    void settle(const RequestId &call, std::int64_t usedTokens);

    using AdvanceListener =
        std::function<void(const BudgetId &, const std::string &home, const absl::StatusOr<std::int64_t> &tokens)>;

    /// Called with each advance that a home gave, or did not give.
    void setAdvanceListener(AdvanceListener listener);

    /// This gateway takes calls for no longer than `left`: what its advances have beyond that goes back now.
    void leave(Duration left);

    /// Settles all advances; to be called when no call is left, or when those that are left can't be waited for.
    void returnAdvances();

    std::int64_t advanceAvailable(const BudgetId &budget) const
    {
        return m_advances.available(budget);
    }

    std::size_t openCalls() const
    {
        return m_places.size();
    }

private:
    struct Search {
        ReservationRequest request;
        std::vector<std::string> candidates;
        std::size_t next = 0;
        /// How the last peer refused.
        absl::Status last;
        std::function<void(absl::Status)> callback;
    };

    using SearchPointer = std::shared_ptr<Search>;

    void search(const ReservationRequest &request, std::function<void(absl::Status)> callback);
    std::vector<std::string> candidates(const BudgetId &budget) const;
    void askForAdvance(const BudgetId &budget);
    void handleAdvance(const BudgetId &budget, const RequestId &advance, const std::string &home,
                       const absl::StatusOr<std::int64_t> &tokens);
    void tellCharges(const std::vector<AdvanceCharge> &charges);
    void askNext(const SearchPointer &search);
    void askPeer(const SearchPointer &search, const std::string &peer);
    void askHere(const SearchPointer &search);
    void handleAnswer(const SearchPointer &search, const std::string &place, const absl::Status &status);

    HomeDirectory &m_homes;
    LocalBudgets &m_local;
    BudgetPeerPort &m_peers;
    TimerService &m_timers;
    const SharedBudgetsSettings m_settings;
    struct Place {
        /// The gateway that holds the reservation.
        std::string gateway;
        BudgetId budget;
    };

    /// Where the reservations of open calls are that were not made out of an advance.
    absl::flat_hash_map<RequestId, Place> m_places;
    TokenAdvances m_advances;
    /// Names this life of this gateway in its advances: a home must not take one for that of a life before.
    const std::string m_advancePrefix;
    std::uint64_t m_lastAdvance = 0;
    AdvanceListener m_onAdvance;
    TimerId m_upkeepTimer = 0;
};

}
