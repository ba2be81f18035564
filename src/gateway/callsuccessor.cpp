#include "call.h"

#include "base/failure.h"
#include "log.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

const Log kLog("call");

}

bool Call::isSilentButOpen(const Attempt &attempt, const absl::Status &status) const
{
    return failureCode(status) == FailureCode::ConnectionSilent && attempt.connection->isOpen()
        && timeLeft() > Duration::zero();
}

// If no further attempt is possible, there is nothing to do at a pause, so the wait lasts until the deadline.
Duration Call::silenceTimeout(Duration wait) const
{
    const bool mayBeReplaced = mayRunAgain() && m_history.sent < m_history.maximumAttempts;
    return mayBeReplaced ? limitToTimeLeft(wait) : remainingWait();
}

// Tries to replace a silent endpoint by another one. A silent endpoint may still be working, for example on a long
// prompt or on calls taken over from other endpoints, and dropping it early could lose an answer that is on its way.
// Its connection is therefore kept until another endpoint has taken the call, or to the deadline if none does.
net::awaitable<bool> Call::findSuccessor()
{
    m_services.gate.noteSilent(m_attempt.placement.id);
    m_furtherAttempt = checkFurtherAttempt(AttemptEnd::Silent);
    bool isReplaced = m_furtherAttempt == FurtherAttempt::Granted;
    if (isReplaced) {
        isReplaced = co_await startSuccessor();
    }
    if (isReplaced) {
        isReplaced = co_await awaitSuccessorAnswer();
    }
    if (isReplaced) {
        co_return true;
    }
    if (m_furtherAttempt != FurtherAttempt::Granted && !std::exchange(m_attempt.isSilenceLogged, true)) {
        kLog.info("endpoint silent and no further attempt possible, still waiting for it",
                  {field("call", m_request.id.value()), field("endpoint", m_attempt.placement.endpoint.value()),
                   field("events", m_eventSplitter.count()), field("silent_for", silenceDuration(m_attempt)),
                   field("further_attempt", furtherAttemptName(*m_furtherAttempt)), field("time_left", timeLeft())});
    }
    co_return false;
}

net::awaitable<bool> Call::startSuccessor()
{
    const absl::StatusOr<Placement> placement = co_await place();
    if (!placement.ok()) {
        m_furtherAttempt = FurtherAttempt::NoEndpoint;
        returnRetry();
        co_return false;
    }
    m_successor.emplace().placement = *placement;
    m_successor->failure = co_await connect(*m_successor);
    if (!m_successor->failure.ok()) {
        dropSuccessor(endUnsent(*m_successor));
        returnRetry();
        co_return false;
    }
    if (m_isCallerDisconnected || m_attempt.connection->hasUnread()) {
        cancelSuccessor();
        co_return false;
    }
    send(*m_successor);
    co_return true;
}

// The first endpoint has answered, or the caller has disconnected, while the connection to the second endpoint was
// being established. That connection is closed, because its idle time is no longer known and no other call could rely
// on it.
void Call::cancelSuccessor()
{
    m_successor->connection->close();
    m_services.gate.noteEnded(m_successor->placement.id, RunEnd::Cancelled);
    returnRetry();
    m_successor.reset();
}

// Returns true if the second endpoint is to replace the first. A hanging endpoint accepts a call like a working one, so
// that only an answer shows the difference. Until the second endpoint answers, the gateway also checks the first at
// intervals; if the first answers sooner, its answer is used. If neither answers within the overlap, the second
// endpoint replaces the first.
net::awaitable<bool> Call::awaitSuccessorAnswer()
{
    const Instant end = m_services.timers.now() + overlapTimeout();
    absl::StatusOr<AnswerHead> head = co_await pollSuccessor(end);
    while (!head.ok() && isSilentButOpen(*m_successor, head.status())) {
        if (m_attempt.connection->hasUnread()) {
            dropUnansweredSuccessor();
            co_return false;
        }
        if (m_services.timers.now() >= end) {
            co_return true;
        }
        head = co_await pollSuccessor(end);
    }
    if (!head.ok()) {
        dropSuccessor(endUnanswered(*m_successor, head.status()));
        co_return false;
    }
    if (head->isRefusal) {
        const AttemptEnd refused = co_await endRefused(*m_successor, *head);
        dropSuccessor(refused);
        co_return false;
    }
    m_history.mayHaveRun = true;
    if (!head->isSigned || !isSuccess(head->status)) {
        dropSuccessor(AttemptEnd::Broken);
        co_return false;
    }
    m_successor->head = *head;
    co_return true;
}

// How long both endpoints may run the call. A stream starts with its head, so the second endpoint shows early that it
// has started. For an unstreamed answer both endpoints could work on it in parallel all the time, which is bounded.
Duration Call::overlapTimeout() const
{
    return m_route->isStreamed ? remainingWait() : limitToTimeLeft(m_services.times.maximumOverlap);
}

net::awaitable<absl::StatusOr<AnswerHead>> Call::pollSuccessor(Instant end)
{
    if (silenceDuration(*m_successor) > m_services.times.eventSilenceTimeout) {
        m_services.gate.noteSilent(m_successor->placement.id);
    }
    const Duration left = std::max(end - m_services.timers.now(), m_services.times.successorPollInterval);
    m_successor->connection->expireAfter(limitToTimeLeft(m_services.times.successorPollInterval), AtExpiry::Pause,
                                         limitToTimeLeft(left));
    co_return co_await readHead(*m_successor);
}

void Call::dropUnansweredSuccessor()
{
    m_history.mayHaveRun = true;
    // The second endpoint had little time to answer, so this does not count as its failure.
    m_services.gate.noteEnded(m_successor->placement.id, RunEnd::Cancelled);
    dropSuccessor(AttemptEnd::Silent);
}

void Call::dropSuccessor(AttemptEnd end)
{
    m_furtherAttempt = FurtherAttempt::NoEndpoint;
    finish(*m_successor, end);
    m_successor.reset();
}

}
