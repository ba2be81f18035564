#pragma once

#include "serving/budgetpeerport.h"
#include "serving/homedirectory.h"

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
    virtual void reserveLocally(const ReservationRequest &request, ReservationCallback callback) = 0;
    /// Whether the ledger is known not to answer this gateway.
    virtual bool isLedgerUnreachable(const BudgetId &budget) const = 0;
    virtual void settleLocally(const RequestId &call, std::int64_t usedTokens) = 0;
};

struct SharedBudgetsSettings {
    /// As in LedgerSettings.
    std::uint32_t ledgerShards = 64;
    /// A home that does not answer in this time is passed over. It may have to ask the ledger first, which takes some
    /// tens of milliseconds; a call's first answer is due in 250.
    Duration peerTimeout = std::chrono::milliseconds(120);
};

/// Reserves tokens at the home of each budget, and falls back to other gateways and to this one's own portions while
/// the home can't be reached or has nothing left.
///
/// With a portion at each gateway a small budget would lie in pieces too small for one request, and all gateways would
/// write its record at once. One home for all budgets of a shard of the ledger keeps each budget whole and its object
/// in one hand. Any number of homes at a time is safe, since each holds portions of its own.
class SharedBudgets
{
public:
    SharedBudgets(HomeDirectory &homes, LocalBudgets &local, BudgetPeerPort &peers, TimerService &timers,
                  SharedBudgetsSettings settings = {});

    /// Sets the worst case of a call aside. Errors as BudgetHolder::reserve.
    void reserve(const ReservationRequest &request, std::function<void(absl::Status)> callback);

    /// Ends a call's reservation, wherever it is, with what the call used.
    void settle(const RequestId &call, std::int64_t usedTokens);

    std::size_t openCalls() const
    {
        return m_holders.size();
    }

private:
    struct Search {
        ReservationRequest request;
        std::vector<std::string> candidates;
        std::string usualHome;
        std::size_t next = 0;
        /// How the lastStatus peer refused.
        absl::Status lastStatus;
        std::function<void(absl::Status)> callback;
    };

    using SearchPointer = std::shared_ptr<Search>;

    void askNext(const SearchPointer &search);
    void askPeer(const SearchPointer &search, const std::string &peer);
    void askLocal(const SearchPointer &search);
    void handleAnswer(const SearchPointer &search, const std::string &holder, const absl::Status &status);

    HomeDirectory &m_homes;
    LocalBudgets &m_local;
    BudgetPeerPort &m_peers;
    TimerService &m_timers;
    const SharedBudgetsSettings m_settings;
    /// Who holds the reservation of an open call.
    absl::flat_hash_map<RequestId, std::string> m_holders;
};

}
