#include "serving/sharedbudgets.h"

#include "failure.h"
#include "ledgerlayout.h"

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

/// Whether a gateway has used up what it holds and does not reach the ledger, or has not heard of the budget yet.
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
    search->request = request;
    search->candidates =
        m_homes.candidates(ledgerShardKey(ledgerShardOf(request.budget, m_settings.ledgerShards)), m_timers.now());
    search->callback = std::move(callback);
    askNext(search);
}

void SharedBudgets::askNext(const SearchPointer &search)
{
    const std::string peer = search->candidates[search->next++];
    if (peer == m_homes.self()) {
        // When the others lack the ledger and this gateway does too, asking it would only cost a call to the store.
        return lacksLedger(search->last) && m_local.isLedgerAway(search->request.budget)
            ? search->callback(search->last)
            : askHere(search);
    }
    m_peers.reserve(peer, search->request, m_settings.peerTimeout, [this, search, peer](const absl::Status &status) {
        handleAnswer(search, peer, status);
    });
}

void SharedBudgets::handleAnswer(const SearchPointer &search, const std::string &peer, const absl::Status &status)
{
    if (status.ok()) {
        m_homes.noteReached(peer);
        m_places[search->request.request] = peer;
        return search->callback(absl::OkStatus());
    }
    const FailureCode code = failureCode(status);
    if (isUnreachable(code)) {
        m_homes.noteUnreachable(peer, m_timers.now());
    }
    search->last = status;
    // The next in order is the same for all: one stand-in and not each gateway for itself, which would have all of them
    // write the budget's record at once.
    if (isUnreachable(code) || lacksLedger(status)) {
        return askNext(search);
    }
    search->callback(status);
}

void SharedBudgets::askHere(const SearchPointer &search)
{
    m_local.reserveHere(search->request, [this, search](const absl::StatusOr<Reservation> &reservation) {
        if (reservation.ok()) {
            m_places[search->request.request] = m_homes.self();
        }
        search->callback(reservation.status());
    });
}

void SharedBudgets::settle(const RequestId &call, std::int64_t usedTokens)
{
    const auto it = m_places.find(call);
    if (it == m_places.end()) {
        return;
    }
    const std::string place = it->second;
    m_places.erase(it);
    if (place == m_homes.self()) {
        m_local.settleHere(call, usedTokens);
    } else {
        m_peers.settle(place, call, usedTokens);
    }
}

}
