#pragma once

#include "serving/budgetpeerport.h"
#include "serving/homedirectory.h"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace RadishSwitch
{

/// The portions of budgets that this gateway holds itself.
class LocalBudgets
{
public:
    virtual ~LocalBudgets() = default;

    /// Reports the same errors as BudgetHolder::reserve.
    virtual void reserveLocally(const ReservationRequest &request, ReservationCallback callback) = 0;
    /// Whether this gateway is known not to reach the ledger.
    virtual bool isLedgerUnreachable(const BudgetId &budget) const = 0;
    virtual void settleLocally(const RequestId &call, std::int64_t usedTokens) = 0;
};

struct SharedBudgetsSettings {
    /// Must equal the number of shards in LedgerSettings.
    std::uint32_t ledgerShards = 64;
    /// A home that does not answer within this time is passed over. The home may have to ask the ledger first, which
    /// takes some tens of milliseconds; the first answer to a call is due after 250 ms.
    Duration peerTimeout = std::chrono::milliseconds(120);
};

/// Reserves tokens at the home of each budget. While the home can't be reached, or can't get tokens from the ledger,
/// reserves at other gateways or from this gateway's own portions.
///
/// If each gateway held a portion of each budget, a small budget would be split into portions too small for one
/// request, and all gateways would write its record at once. With one home for all budgets of a shard of the ledger,
/// each budget stays in one piece and one process writes its object. Any number of homes at a time is safe, since each
/// holds portions of its own.
class SharedBudgets
{
public:
    SharedBudgets(HomeDirectory &homes, LocalBudgets &local, BudgetPeerPort &peers, TimerService &timers,
                  SharedBudgetsSettings settings = {});

    /// Reserves the worst case of a call. Reports the same errors as BudgetHolder::reserve.
    void reserve(const ReservationRequest &request, std::function<void(absl::Status)> callback);

    /// Ends a call's reservation, wherever it was made, with the tokens that the call used.
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
        /// The status with which the last process refused.
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
    /// The process that holds the reservation of each open call.
    absl::flat_hash_map<RequestId, std::string> m_holders;
};

}
