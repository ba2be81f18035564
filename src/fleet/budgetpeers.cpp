#include "budgetpeers.h"

#include "wire.h"
#include "wireconversion.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

/// Time after which a caller may retry when the ledger was late. The ledger usually answers within tens of
/// milliseconds.
constexpr std::chrono::milliseconds kLedgerLateRetryAfter{200};

/// Time for the way back of the home's answer, which is deducted from the time that the home may take. The answer of a
/// home that refuses exactly at the deadline would come too late, and the caller would be told of a late ledger instead
/// of the home's reason.
constexpr std::chrono::milliseconds kAnswerTravelTime{10};

std::int64_t milliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::string settleFrame(const RequestId &call, std::int64_t usedTokens)
{
    wire::BudgetRequest message;
    message.mutable_settle()->set_call(call.value());
    message.mutable_settle()->set_used_tokens(usedTokens);
    return message.SerializeAsString();
}

}

BudgetPeers::BudgetPeers(MessageClients &clients, const HomeDirectory &homes, TimerService &timers, Duration expiry)
    : m_clients(clients)
    , m_homes(homes)
    , m_timers(timers)
    , m_expiry(expiry)
{
}

BudgetPeers::~BudgetPeers()
{
    for (auto &[peer, link] : m_links) {
        for (auto &[call, pending] : link.pending) {
            m_timers.cancel(pending.timer);
        }
    }
}

void BudgetPeers::reserve(const std::string &peer, const ReservationRequest &request, Duration timeout,
                          std::function<void(absl::Status)> callback)
{
    wire::BudgetRequest message;
    wire::Reserve &reserve = *message.mutable_reserve();
    reserve.set_call(request.request.value());
    reserve.set_organisation(request.budget.organisation.value());
    reserve.set_tokens(request.tokens);
    reserve.set_wait_ms(
        milliseconds(std::max<Duration>(request.deadline - m_timers.now() - kAnswerTravelTime, Duration::zero())));
    reserve.set_expires_ms(milliseconds(m_expiry));
    reserve.set_is_urgent(request.isUrgent);
    reserve.set_is_stand_in(request.isStandIn);
    reserve.set_allowance_version(request.allowance.version);
    reserve.set_allowance_tokens(request.allowance.tokens);
    const RequestId call = request.request;
    const TimerId timer = m_timers.after(timeout, [this, peer, call] {
        handleTimeout(peer, call);
    });
    m_links[peer].pending[call] = Pending{std::move(callback), timer, m_timers.now(), request.deadline};
    if (!send(peer, message.SerializeAsString())) {
        finish(peer, call, makeFailure(FailureCode::ConnectionLost, "no address is known of peer " + peer));
    }
}

void BudgetPeers::handOver(const std::string &peer, const BudgetId &budget, const PortionId &portion,
                           std::int64_t spentTokens)
{
    wire::BudgetRequest message;
    message.mutable_handed()->set_organisation(budget.organisation.value());
    message.mutable_handed()->set_portion(portion.value());
    message.mutable_handed()->set_spent_tokens(spentTokens);
    (void)send(peer, message.SerializeAsString());
}

void BudgetPeers::settle(const std::string &peer, const RequestId &call, std::int64_t usedTokens)
{
    // If the settlement is lost, the reservation expires at the peer, which then counts all of its tokens as used. This
    // may bill too many tokens, but never allows more to be spent than was paid.
    (void)send(peer, settleFrame(call, usedTokens));
}

bool BudgetPeers::send(const std::string &peer, std::string frame)
{
    Link &link = m_links[peer];
    if (link.stream) {
        link.stream->send(std::move(frame));
        return true;
    }
    const std::string address = m_homes.addressOf(peer);
    if (address.empty()) {
        return false;
    }
    const MessageStreamPointer stream = m_clients.client(address)->open(kBudgetPath, std::move(frame));
    link.stream = stream;
    const std::weak_ptr<int> alive = m_alive;
    stream->start(
        [this, alive, peer](const std::string &answer) {
            if (!alive.expired()) {
                handleAnswer(peer, answer);
            }
        },
        [this, alive, peer, closed = stream.get()](const absl::Status &status) {
            if (!alive.expired()) {
                handleClosed(peer, closed, status);
            }
        });
    return true;
}

void BudgetPeers::handleAnswer(const std::string &peer, const std::string &frame)
{
    const absl::StatusOr<wire::BudgetAnswer> answer = parseFrame<wire::BudgetAnswer>(frame);
    if (!answer.ok()) {
        if (const MessageStreamPointer stream = m_links[peer].stream) {
            stream->cancel();
        }
        return;
    }
    m_links[peer].lastAnswerAt = m_timers.now();
    const RequestId call(answer->call());
    if (!m_links[peer].pending.contains(call)) {
        // The answer came too late and this gateway no longer waits for it. If the peer made the reservation, the
        // gateway releases it with zero used tokens.
        if (!answer->has_refused()) {
            (void)send(peer, settleFrame(call, 0));
        }
        return;
    }
    finish(peer, call, answer->has_refused() ? failureFromWire(answer->refused()) : absl::OkStatus());
}

void BudgetPeers::handleClosed(const std::string &peer, const MessageStream *stream, const absl::Status &status)
{
    Link &link = m_links[peer];
    if (link.stream.get() != stream) {
        return;
    }
    link.stream.reset();
    const absl::flat_hash_map<RequestId, Pending> pending = std::exchange(link.pending, {});
    const absl::Status failure = makeFailure(FailureCode::ConnectionLost, std::string(status.message()));
    for (const auto &[call, waiting] : pending) {
        m_timers.cancel(waiting.timer);
        waiting.callback(failure);
    }
}

void BudgetPeers::handleTimeout(const std::string &peer, const RequestId &call)
{
    Link &link = m_links[peer];
    const auto it = link.pending.find(call);
    if (it == link.pending.end()) {
        return;
    }
    Pending &pending = it->second;
    if (link.lastAnswerAt < pending.sentAt) {
        return finish(peer, call, makeFailure(FailureCode::ConnectionSilent, "peer " + peer + " is silent"));
    }
    // The peer has answered other calls in the meantime, so it is reachable. This call waits at the peer for the ledger
    // and may do so until its deadline.
    if (m_timers.now() < pending.deadline) {
        pending.timer = m_timers.after(pending.deadline - m_timers.now(), [this, peer, call] {
            handleTimeout(peer, call);
        });
        return;
    }
    finish(peer, call,
           makeFailure(FailureCode::LedgerLate, "peer " + peer + " did not answer before the deadline",
                       kLedgerLateRetryAfter));
}

void BudgetPeers::finish(const std::string &peer, const RequestId &call, const absl::Status &status)
{
    Link &link = m_links[peer];
    const auto it = link.pending.find(call);
    if (it == link.pending.end()) {
        return;
    }
    const Pending pending = std::move(it->second);
    link.pending.erase(it);
    m_timers.cancel(pending.timer);
    pending.callback(status);
}

}
