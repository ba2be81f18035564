#include "call.h"

#include "base/failure.h"
#include "log.h"

#include <algorithm>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

const Log kLog("call");

RunEnd runEndWithoutAnswer(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::RefusedByEndpoint:
        return RunEnd::Refused;
    case AttemptEnd::WrongEndpoint:
        // It says nothing of how well the endpoint works: there is none.
    case AttemptEnd::Withdrawn:
        return RunEnd::Cancelled;
    case AttemptEnd::NotSent:
    case AttemptEnd::Broken:
    case AttemptEnd::Silent:
        break;
    }
    return RunEnd::Failed;
}

}

net::awaitable<void> Call::start(Attempt &attempt)
{
    attempt.failure = co_await connect(attempt);
    if (attempt.failure.ok()) {
        send(attempt);
    } else {
        ++m_history.notSent;
    }
}

// Leaves the attempt without a connection when none can be had.
net::awaitable<absl::Status> Call::connect(Attempt &attempt)
{
    // Its caller left after the endpoint was chosen, when there was no connection yet to close.
    if (m_isCallerGone) {
        co_return makeFailure(FailureCode::ConnectionLost, "the caller is gone");
    }
    const Duration longestIdle = mayRunAgain() ? m_services.times.longestIdle : m_services.times.longestIdleOnce;
    attempt.connection = m_services.connections.takeIdle(attempt.placement.endpoint, longestIdle);
    absl::Status status;
    if (!attempt.connection) {
        status = co_await connectAnew(attempt);
    }
    if (status.ok()) {
        status = checkBeforeSending(attempt);
        attempt.isWithdrawn = !status.ok();
    }
    if (!status.ok()) {
        m_services.connections.forget(attempt.placement.endpoint);
        attempt.connection->close();
        attempt.connection.reset();
    }
    co_return status;
}

net::awaitable<absl::Status> Call::connectAnew(Attempt &attempt)
{
    const Placement &placement = attempt.placement;
    attempt.connection = m_services.connections.create(placement.address);
    const Instant askedAt = m_services.timers.now();
    absl::Status status = co_await attempt.connection->connect(within(m_services.connections.connectTimeout()));
    noteConnected(placement, m_services.timers.now() - askedAt, status);
    co_return status;
}

// Much can have been heard since the endpoint was chosen.
absl::Status Call::checkBeforeSending(const Attempt &attempt) const
{
    if (m_isCallerGone) {
        return makeFailure(FailureCode::ConnectionLost, "the caller is gone");
    }
    if (!m_services.gate.mayStillBeSent(attempt.placement.id)) {
        return makeFailure(FailureCode::Overloaded, "the endpoint takes no calls any more");
    }
    return checkPoison();
}

AttemptEnd Call::endUnsent(const Attempt &attempt)
{
    return attempt.isWithdrawn ? AttemptEnd::Withdrawn : AttemptEnd::NotSent;
}

// One that was given up early since the call's time was over says nothing.
void Call::noteConnected(const Placement &placement, Duration taken, const absl::Status &status) const
{
    const bool isSilent = !status.ok() && failureCode(status) == FailureCode::ConnectionSilent;
    if (!isSilent || taken >= m_services.connections.connectTimeout()) {
        m_services.link.noteConnected(placement.zone, taken, m_services.timers.now());
    }
}

void Call::send(Attempt &attempt)
{
    if (m_history.sent == 0) {
        m_services.retryBudget(m_pool->name).noteFirstAttempt();
    }
    ++m_history.sent;
    m_hasRetry = false;
    attempt.crashesBefore = m_services.poison.isWatching() ? m_services.poison.crashes(fingerprint()) : 0;
    CallDispatch dispatch;
    dispatch.endpoint = attempt.placement.endpoint;
    dispatch.organisation = m_organisation ? m_organisation->name : OrganisationId();
    dispatch.timeLeft = m_deadline - m_services.timers.now();
    dispatch.priority = priority();
    dispatch.lastEvent = m_cutter.lastEvent();
    attempt.heardAt = m_services.timers.now();
    attempt.connection->startSending(m_services.protocol.endpointCall(m_exchange.request(), dispatch));
}

// Up to the connection's deadline; after a pause it goes on where it was.
net::awaitable<absl::StatusOr<AnswerHead>> Call::readHead(Attempt &attempt)
{
    HttpConnection &connection = *attempt.connection;
    const bool hasBody = m_exchange.request().method != "HEAD";
    while (true) {
        absl::Status status = co_await skipStrayAnswer(attempt);
        if (status.ok()) {
            status = co_await connection.receiveHead(hasBody);
        }
        if (!status.ok()) {
            co_return status;
        }
        attempt.heardAt = m_services.timers.now();
        const AnswerHead head = m_services.protocol.readAnswer(connection.status(), connection.headers());
        const bool isOurs = head.call ? *head.call == m_request.id : !isSuccess(head.status);
        if (isOurs) {
            noteNotice(attempt, head);
            co_return head;
        }
        attempt.isInStrayAnswer = true;
    }
}

void Call::noteNotice(const Attempt &attempt, const AnswerHead &head) const
{
    // What answers at an address that is used again says nothing of the endpoint that was meant.
    if (head.isOtherEndpoint) {
        return;
    }
    const EndpointId &endpoint = attempt.placement.endpoint;
    for (const NoticeField unreadable : head.notice.unreadable) {
        if (m_services.sampler.keeps(m_request.id, m_services.timers.now())) {
            kLog.error("what an endpoint says can't be read",
                       {field("endpoint", endpoint.value()), field("field", noticeFieldName(unreadable))});
        }
    }
    const NoticeChanges news = m_services.gate.noteNotice(attempt.placement.id, head.notice);
    if (news.hasLimitChanged) {
        const std::optional<double> &limit = head.notice.callsPerSecond;
        kLog.info(limit ? "endpoint names a limit" : "endpoint names no limit any more",
                  {field("call", m_request.id.value()), field("endpoint", endpoint.value()),
                   field("calls_per_second", std::to_string(limit.value_or(0)))});
        m_services.limits.noteHeard(endpoint, limit);
    }
    if (news.isLeavingNow) {
        kLog.info("endpoint says that it leaves",
                  {field("call", m_request.id.value()), field("endpoint", endpoint.value())});
    }
    if (news.isBackoffLonger) {
        m_services.metrics.noteBackoff();
        if (m_services.failureSampler.keeps(m_request.id, m_services.timers.now())) {
            kLog.warning("endpoint asks for backoff",
                         {field("call", m_request.id.value()), field("endpoint", endpoint.value()),
                          field("backoff", *head.notice.backoff), field("sent", m_history.sent)});
        }
    }
}

// An endpoint may have sent a second answer to an earlier call on this connection. It comes where the answer to this
// one is due, and bears the earlier call's id; the answer to this call follows it.
net::awaitable<absl::Status> Call::skipStrayAnswer(Attempt &attempt)
{
    if (!attempt.isInStrayAnswer) {
        co_return absl::OkStatus();
    }
    const absl::StatusOr<std::string> body = co_await attempt.connection->receiveAll();
    attempt.isInStrayAnswer = !body.ok();
    co_return body.status();
}

AttemptEnd Call::endUnanswered(Attempt &attempt, const absl::Status &status)
{
    attempt.failure = status;
    if (!attempt.connection->mayHaveSent()) {
        return AttemptEnd::NotSent;
    }
    m_history.mayHaveRun = true;
    if (attempt.connection->wasHeldUp()) {
        m_services.metrics.noteHeldUp();
    }
    return failureCode(status) == FailureCode::ConnectionSilent ? AttemptEnd::Silent : AttemptEnd::Broken;
}

net::awaitable<AttemptEnd> Call::endRefused(Attempt &attempt, const AnswerHead &head)
{
    const ConnectionPointer connection = std::exchange(attempt.connection, nullptr);
    connection->expireAfter(m_services.times.refusalBody);
    const absl::StatusOr<std::string> body = co_await connection->receiveAll();
    if (!body.ok()) {
        connection->close();
    }
    m_services.connections.giveBack(attempt.placement.endpoint, connection, head.idleTimeout);
    co_return head.isOtherEndpoint ? AttemptEnd::WrongEndpoint : AttemptEnd::RefusedByEndpoint;
}

void Call::finish(Attempt &attempt, AttemptResult result)
{
    if (result == AttemptEnd::WrongEndpoint) {
        m_services.gate.noteWrongEndpoint(attempt.placement.id);
    }
    m_services.gate.noteEnded(attempt.placement.id, runEndOf(attempt, result));
    notePoison(attempt, result);
    if (result) {
        logAttempt(attempt, *result);
        m_tried.push_back(attempt.placement.endpoint);
    }
    if (attempt.connection) {
        attempt.connection->close();
        attempt.connection.reset();
    }
}

// A connection that breaks may be an endpoint that has crashed, and this request the cause. One that ended with a
// whole answer, even of a failure, has not crashed anything.
void Call::notePoison(const Attempt &attempt, AttemptResult result)
{
    const Placement &placement = attempt.placement;
    const bool isLost = failureCode(attempt.failure) == FailureCode::ConnectionLost;
    if (result == AttemptEnd::Broken && isLost && !m_isCallerGone) {
        const EndpointIncarnation life{placement.endpoint, placement.startedAtMilliseconds};
        m_services.poison.noteBroken({life, fingerprint(), attempt.crashesBefore}, placement.address);
    }
    if (!result && m_services.poison.isWatching()) {
        m_services.poison.noteAnswered(fingerprint());
    }
}

// An endpoint that fails many calls while its health is good shows it by its answers alone.
RunEnd Call::runEndOf(const Attempt &attempt, AttemptResult result) const
{
    if (!result) {
        return attempt.hasFailed ? RunEnd::Failed : RunEnd::Ok;
    }
    return m_isCallerGone ? RunEnd::Cancelled : runEndWithoutAnswer(*result);
}

// A wait that ends before the call does is only a reason to look for another endpoint.
AtExpiry Call::atExpiry(Duration wait) const
{
    return wait < timeLeft() ? AtExpiry::Pause : AtExpiry::Close;
}

void Call::logAttempt(const Attempt &attempt, AttemptEnd end) const
{
    m_services.metrics.noteAttemptFailed(end);
    if (!m_services.failureSampler.keeps(m_request.id, m_services.timers.now())) {
        return;
    }
    const ExpiredWait wait =
        attempt.connection ? attempt.connection->expiredWait().value_or(ExpiredWait()) : ExpiredWait();
    kLog.info("attempt failed",
              {field("call", m_request.id.value()), field("content", fingerprint().toString()),
               field("endpoint", attempt.placement.endpoint.value()), field("address", attempt.placement.address),
               field("end", attemptEndName(end)), field("reason", std::string(attempt.failure.message())),
               field("sent", m_history.sent), field("events", m_cutter.count()),
               field("may_have_run", m_history.mayHaveRun), field("silent_for", silentFor(attempt)),
               field("noticed_late", wait.late), field("unread", wait.unread), field("time_left", timeLeft())});
}

Duration Call::silentFor(const Attempt &attempt) const
{
    return attempt.heardAt == Instant() ? Duration::zero() : m_services.timers.now() - attempt.heardAt;
}

}
