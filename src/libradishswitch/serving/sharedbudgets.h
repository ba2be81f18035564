#pragma once

#include "serving/budgethomes.h"
#include "serving/budgetpeerport.h"

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
    virtual void settleHere(const RequestId &call, std::int64_t usedTokens) = 0;
};

struct SharedBudgetsSettings {
    BudgetHomesSettings homes;
    /// A home that does not answer in this time is passed over. It may have to ask the ledger first, which takes some tens
    /// of milliseconds; a call's first answer is due in 250.
    Duration peerTimeout = std::chrono::milliseconds(120);
};

/// Reserves tokens at the home of each budget, and falls back to other gateways and to this one's own portions while the
/// home can't be reached or has nothing left.
class SharedBudgets
{
public:
    SharedBudgets(std::string self, LocalBudgets &local, BudgetPeerPort &peers, TimerService &timers,
                  SharedBudgetsSettings settings = {});

    BudgetHomes &homes()
    {
        return m_homes;
    }

    /// Sets the worst case of a call aside. Errors as BudgetHolder::reserve.
    void reserve(const ReservationRequest &request, std::function<void(absl::Status)> callback);

    /// Ends a call's reservation, wherever it is, with what the call used.
    void settle(const RequestId &call, std::int64_t usedTokens);

    std::size_t openCalls() const
    {
        return m_places.size();
    }

private:
    struct Search {
        ReservationRequest request;
        std::vector<std::string> candidates;
        std::size_t next = 0;
        std::function<void(absl::Status)> callback;
    };

    using SearchPointer = std::shared_ptr<Search>;

    void askNext(const SearchPointer &search);
    void askHere(const SearchPointer &search);
    void handleAnswer(const SearchPointer &search, const std::string &peer, const absl::Status &status);

    LocalBudgets &m_local;
    BudgetPeerPort &m_peers;
    TimerService &m_timers;
    const SharedBudgetsSettings m_settings;
    BudgetHomes m_homes;
    /// Who holds the reservation of an open call.
    absl::flat_hash_map<RequestId, std::string> m_places;
};

}
