#include "serving/sharedbudgets.h"

#include "base/failure.h"
#include "budgets/ledgerlayout.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

bool isUnreachable(FailureCode code)
{
    return code == FailureCode::ConnectionLost || code == FailureCode::ConnectionSilent
        || code == FailureCode::Draining;
}

/// Whether a gateway has used up its portions and can't reach the ledger, or does not know the budget yet.
bool lacksLedger(const absl::Status &status)
{
    const FailureCode code = failureCode(status);
    return !status.ok() && (code == FailureCode::BudgetUnavailable || code == FailureCode::BudgetUnknown);
}

}

SharedBudgets::SharedBudgets(HomeDirectory &homes, LocalBudgets &local, BudgetPeerPort &peers, TimerService &timers,
                             SharedBudgetsSettings settings)
    : m_homes(homes)
    , m_local(local)
    , m_peers(peers)
    , m_timers(timers)
    , m_settings(settings)
{
}

void SharedBudgets::reserve(const ReservationRequest &request, std::function<void(absl::Status)> callback)
{
    const auto search = std::make_shared<Search>();
    const std::string key = ledgerShardKey(ledgerShardOf(request.budget, m_settings.ledgerShards));
    search->request = request;
    search->candidates = m_homes.candidates(key, m_timers.now());
    search->usualHome = m_homes.usualHome(key);
    search->callback = std::move(callback);
    askNext(search);
}

void SharedBudgets::askNext(const SearchPointer &search)
{
    if (search->next == search->candidates.size()) {
        return search->callback(search->lastStatus);
    }
    const std::string name = search->candidates[search->next++];
    search->request.isStandIn = name != search->usualHome;
    if (name != m_homes.self()) {
        return askPeer(search, name);
    }
    // If neither the home nor this gateway reaches the ledger, a reservation here would only cost a call to the store.
    const bool isFutile = lacksLedger(search->lastStatus) && m_local.isLedgerUnreachable(search->request.budget);
    isFutile ? askNext(search) : askLocal(search);
}

void SharedBudgets::askPeer(const SearchPointer &search, const std::string &peer)
{
    m_peers.reserve(peer, search->request, m_settings.peerTimeout, [this, search, peer](const absl::Status &status) {
        if (status.ok()) {
            m_homes.noteReached(peer);
        } else if (isUnreachable(failureCode(status))) {
            m_homes.noteUnreachable(peer, m_timers.now());
        }
        handleAnswer(search, peer, status);
    });
}

void SharedBudgets::askLocal(const SearchPointer &search)
{
    m_local.reserveLocally(search->request, [this, search](const absl::StatusOr<Reservation> &reservation) {
        handleAnswer(search, m_homes.self(), reservation.status());
    });
}

void SharedBudgets::handleAnswer(const SearchPointer &search, const std::string &holder, const absl::Status &status)
{
    if (status.ok()) {
        m_holders[search->request.request] = holder;
        return search->callback(status);
    }
    search->lastStatus = status;
    // All gateways ask in the same order and therefore meet the same stand-in. If each gateway reserved for itself, all
    // of them would write the budget's record at once.
    const bool shouldAskNext = isUnreachable(failureCode(status)) || lacksLedger(status);
    shouldAskNext ? askNext(search) : search->callback(status);
}

void SharedBudgets::settle(const RequestId &call, std::int64_t usedTokens)
{
    const auto it = m_holders.find(call);
    if (it == m_holders.end()) {
        return;
    }
    const std::string holder = it->second;
    m_holders.erase(it);
    if (holder == m_homes.self()) {
        m_local.settleLocally(call, usedTokens);
    } else {
        m_peers.settle(holder, call, usedTokens);
    }
}

}
