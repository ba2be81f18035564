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
                             RandomSource &random, SharedBudgetsSettings settings)
    : m_homes(homes)
    , m_local(local)
    , m_peers(peers)
    , m_timers(timers)
    , m_settings(settings)
    , m_advances(settings.advances)
    , m_advancePrefix("advance-" + homes.self() + "-" + random.freshName() + "-")
{
    m_upkeepTimer = m_timers.every(m_settings.upkeepInterval, [this] {
        tellCharges(m_advances.takeCharges(m_timers.now()));
    });
}

void SharedBudgets::setAdvanceListener(AdvanceListener listener)
{
    m_onAdvance = std::move(listener);
}

SharedBudgets::~SharedBudgets()
{
    m_timers.cancel(m_upkeepTimer);
}

void SharedBudgets::reserve(const ReservationRequest &request, std::function<void(absl::Status)> callback)
{
    const bool isGranted = m_advances.grant(request, m_timers.now());
    askForAdvance(request.budget);
    isGranted ? callback(absl::OkStatus()) : search(request, std::move(callback));
}

std::vector<std::string> SharedBudgets::candidates(const BudgetId &budget) const
{
    return m_homes.candidates(ledgerShardKey(ledgerShardOf(budget, m_settings.ledgerShards)), m_timers.now());
}

void SharedBudgets::askForAdvance(const BudgetId &budget)
{
    const std::optional<std::int64_t> missing = m_advances.missing(budget, m_timers.now());
    if (!missing) {
        return;
    }
    const std::string home = candidates(budget).front();
    if (home == m_homes.self()) {
        return;
    }
    m_advances.noteAsked(budget, m_timers.now());
    ReservationRequest request;
    request.request = RequestId(m_advancePrefix + std::to_string(++m_lastAdvance));
    request.budget = budget;
    request.tokens = *missing;
    request.deadline = m_timers.now() + m_settings.advanceTimeout;
    request.isAdvance = true;
    m_peers.reserve(home, request, m_settings.advanceTimeout,
                    [this, budget, advance = request.request, home](const absl::StatusOr<std::int64_t> &tokens) {
                        handleAdvance(budget, advance, home, tokens);
                    });
}

void SharedBudgets::handleAdvance(const BudgetId &budget, const RequestId &advance, const std::string &home,
                                  const absl::StatusOr<std::int64_t> &tokens)
{
    if (tokens.ok()) {
        m_advances.add(budget, advance, home, *tokens, m_timers.now());
    } else {
        m_advances.noteRefused(budget, m_timers.now());
    }
    if (m_onAdvance) {
        m_onAdvance(budget, home, tokens);
    }
}

void SharedBudgets::tellCharges(const std::vector<AdvanceCharge> &charges)
{
    for (const AdvanceCharge &it : charges) {
        it.isLast ? m_peers.settle(it.home, it.advance, it.usedTokens)
                  : m_peers.chargePart(it.home, it.advance, it.usedTokens);
    }
}

void SharedBudgets::leave(Duration left)
{
    m_advances.setSurvivalTime(left);
    tellCharges(m_advances.takeCharges(m_timers.now()));
}

void SharedBudgets::returnAdvances()
{
    tellCharges(m_advances.takeAll());
}

void SharedBudgets::search(const ReservationRequest &request, std::function<void(absl::Status)> callback)
{
    const auto search = std::make_shared<Search>();
    search->request = request;
    search->candidates = candidates(request.budget);
    search->callback = std::move(callback);
    askNext(search);
}

void SharedBudgets::askNext(const SearchPointer &search)
{
    if (search->next == search->candidates.size()) {
        return search->callback(search->last);
    }
    const std::string name = search->candidates[search->next++];
    if (name != m_homes.self()) {
        return askPeer(search, name);
    }
    // When the home lacks the ledger and this gateway does too, asking it would only cost a call to the store.
    const bool isInVain = lacksLedger(search->last) && m_local.isLedgerAway(search->request.budget);
    isInVain ? askNext(search) : askHere(search);
}

void SharedBudgets::askPeer(const SearchPointer &search, const std::string &peer)
{
    m_peers.reserve(peer, search->request, m_settings.peerTimeout,
                    [this, search, peer](const absl::StatusOr<std::int64_t> &result) {
                        const absl::Status &status = result.status();
                        if (status.ok()) {
                            m_homes.noteReached(peer);
                        } else if (isUnreachable(failureCode(status))) {
                            m_homes.noteUnreachable(peer, m_timers.now());
                        }
                        handleAnswer(search, peer, status);
                    });
}

void SharedBudgets::askHere(const SearchPointer &search)
{
    m_local.reserveHere(search->request, [this, search](const absl::StatusOr<Reservation> &reservation) {
        handleAnswer(search, m_homes.self(), reservation.status());
    });
}

void SharedBudgets::handleAnswer(const SearchPointer &search, const std::string &place, const absl::Status &status)
{
    if (status.ok()) {
        m_places[search->request.request] = Place{place, search->request.budget};
        return search->callback(status);
    }
    search->last = status;
    // The order is the same for all: one stand-in and not each gateway for itself, which would have all of them write
    // the budget's record at once.
    const bool isWorthAskingOn = isUnreachable(failureCode(status)) || lacksLedger(status);
    isWorthAskingOn ? askNext(search) : search->callback(status);
}

void SharedBudgets::settle(const RequestId &call, std::int64_t usedTokens)
{
    if (m_advances.settle(call, usedTokens, m_timers.now())) {
        return;
    }
    const auto it = m_places.find(call);
    if (it == m_places.end()) {
        return;
    }
    const Place place = it->second;
    m_places.erase(it);
    if (place.gateway == m_homes.self()) {
        return m_local.settleHere(call, usedTokens);
    }
    m_peers.settle(place.gateway, call, usedTokens);
    m_advances.noteUse(place.budget, usedTokens, m_timers.now());
}

}
