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

/// A wait that is over still needs a span that a timer takes.
constexpr Duration kShortestWait = std::chrono::milliseconds(1);

RunEnd runEndOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::RefusedByEndpoint:
        return RunEnd::Refused;
    case AttemptEnd::WrongEndpoint:
        // It says nothing of how well the endpoint works: there is none.
        return RunEnd::Cancelled;
    case AttemptEnd::NotSent:
    case AttemptEnd::Broken:
    case AttemptEnd::Silent:
        break;
    }
    return RunEnd::Failed;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

}

net::awaitable<Call::AttemptResult> Call::attempt(const Placement &placement)
{
    m_endpoint = placement.endpoint;
    const absl::Status status = co_await connect(placement);
    AttemptResult result;
    if (!status.ok()) {
        ++m_history.notSent;
        result = AttemptEnd::NotSent;
    } else {
        if (m_history.sent == 0) {
            m_services.retryBudget(m_pool->name).noteFirstAttempt();
        }
        ++m_history.sent;
        result = co_await exchangeWithEndpoint(placement);
    }
    if (result == AttemptEnd::WrongEndpoint) {
        m_services.gate.noteMissed(m_request.id);
    }
    m_expiredWait = m_connection->expiredWait();
    const RunEnd end = !result ? RunEnd::Ok : m_isCallerGone ? RunEnd::Cancelled : runEndOf(*result);
    m_services.gate.noteEnded(m_request.id, end);
    m_connection.reset();
    co_return result;
}

net::awaitable<absl::Status> Call::connect(const Placement &placement)
{
    const CallTimes &times = m_services.times;
    const Duration longestIdle = mayRunAgain() ? times.longestIdle : times.longestIdleOnce;
    m_connection = m_services.connections.takeIdle(placement.endpoint, longestIdle);
    if (m_connection) {
        co_return absl::OkStatus();
    }
    m_connection = m_services.connections.create(placement.address);
    const Duration wait = std::clamp(timeLeft(), kShortestWait, m_services.connections.connectTimeout());
    absl::Status status = co_await m_connection->connect(wait);
    if (status.ok() && m_isCallerGone) {
        status = makeFailure(FailureCode::ConnectionLost, "the caller is gone");
    }
    if (!status.ok()) {
        m_services.connections.forget(placement.endpoint);
        m_connection->close();
    }
    co_return status;
}

net::awaitable<Call::AttemptResult> Call::exchangeWithEndpoint(const Placement &placement)
{
    CallDispatch dispatch;
    dispatch.endpoint = placement.endpoint;
    dispatch.organisation = m_organisation ? m_organisation->name : OrganisationId();
    dispatch.timeLeft = timeLeft();
    dispatch.priority = priority();
    dispatch.lastEvent = m_cutter.lastEvent();
    m_heardAt = m_services.timers.now();
    m_expiredWait.reset();
    m_connection->startSending(m_services.protocol.endpointCall(m_exchange.request(), dispatch));

    const absl::StatusOr<AnswerHead> head = co_await readHead(placement);
    if (!head.ok()) {
        m_history.mayHaveRun = m_history.mayHaveRun || m_connection->mayHaveSent();
        m_connection->close();
        co_return m_connection->mayHaveSent() ? endOf(head.status()) : AttemptEnd::NotSent;
    }
    if (head->isRefusal) {
        co_await readRefusal();
        m_services.connections.giveBack(placement.endpoint, m_connection, head->idleTimeout);
        co_return head->isOtherEndpoint ? AttemptEnd::WrongEndpoint : AttemptEnd::RefusedByEndpoint;
    }
    m_history.mayHaveRun = true;
    if (!head->isSigned) {
        m_connection->close();
        co_return AttemptEnd::Broken;
    }
    const bool isStream = m_route->isStreamed && isSuccess(head->status);
    const AttemptResult result = isStream ? co_await relayStream(*head) : co_await relayWhole(*head);
    if (result) {
        m_connection->close();
    } else {
        m_services.connections.giveBack(placement.endpoint, m_connection, head->idleTimeout);
    }
    co_return result;
}

// An endpoint may have sent a second answer to an earlier call on this connection. It comes where the answer to this
// one is due, and bears the earlier call's id; the answer to this call follows it.
net::awaitable<absl::StatusOr<AnswerHead>> Call::readHead(const Placement &placement)
{
    const bool hasBody = m_exchange.request().method != "HEAD";
    m_connection->expireAfter(firstAnswerWait(placement));
    while (true) {
        const absl::Status status = co_await m_connection->receiveHead(hasBody);
        if (!status.ok()) {
            co_return status;
        }
        m_heardAt = m_services.timers.now();
        const AnswerHead head = m_services.protocol.readAnswer(m_connection->status(), m_connection->headers());
        const bool isOurs = head.call ? *head.call == m_request.id : !isSuccess(head.status);
        if (isOurs) {
            co_return head;
        }
        const absl::StatusOr<std::string> body = co_await m_connection->receiveAll();
        if (!body.ok()) {
            co_return body.status();
        }
    }
}

net::awaitable<Call::AttemptResult> Call::relayWhole(const AnswerHead &head)
{
    m_connection->expireAfter(std::max(timeLeft(), kShortestWait));
    absl::StatusOr<std::string> body = co_await m_connection->receiveAll();
    if (!body.ok()) {
        co_return endOf(body.status());
    }
    noteFirstAnswer();
    m_isAnswered = true;
    m_answeredStatus = head.status;
    HttpResponse response;
    response.status = head.status;
    response.headers = m_services.protocol.callerHeaders(m_connection->headers());
    response.body = std::move(*body);
    if (!m_isCallerGone) {
        noteDelivery(co_await m_exchange.respond(std::move(response)));
    }
    co_return std::nullopt;
}

net::awaitable<Call::AttemptResult> Call::relayStream(const AnswerHead &head)
{
    m_cutter.restart();
    while (true) {
        const absl::StatusOr<std::string> data = co_await m_connection->receiveSome(nextEventWait());
        if (!data.ok()) {
            co_return endOf(data.status());
        }
        if (data->empty()) {
            break;
        }
        m_heardAt = m_services.timers.now();
        const std::string events = m_cutter.take(*data);
        if (!events.empty()) {
            const absl::Status status = co_await passOn(head, events);
            if (!status.ok()) {
                m_isCallerGone = true;
                co_return AttemptEnd::Broken;
            }
        }
        if (m_cutter.hasGap()) {
            co_return AttemptEnd::Broken;
        }
    }
    if (!m_cutter.isBetweenEvents()) {
        co_return AttemptEnd::Broken;
    }
    if (!m_hasBegun) {
        noteDelivery(co_await passOn(head, std::string()));
    }
    m_isAnswered = true;
    noteDelivery(co_await m_exchange.endStream());
    co_return std::nullopt;
}

net::awaitable<absl::Status> Call::passOn(const AnswerHead &head, const std::string &events)
{
    if (!m_hasBegun) {
        noteFirstAnswer();
        m_hasBegun = true;
        m_answeredStatus = head.status;
        HttpHeaders headers = m_services.protocol.callerHeaders(m_connection->headers());
        const absl::Status status = co_await m_exchange.beginStream(head.status, std::move(headers));
        if (!status.ok()) {
            co_return status;
        }
    }
    co_return co_await m_exchange.write(events);
}

void Call::noteFirstAnswer()
{
    m_services.gate.noteFirstAnswer(m_request.id);
    m_firstAnswerAfter = m_services.timers.now() - m_startedAt;
    m_services.metrics.noteFirstAnswer(*m_firstAnswerAfter);
}

net::awaitable<void> Call::readRefusal()
{
    m_connection->expireAfter(m_services.times.refusalBody);
    const absl::StatusOr<std::string> body = co_await m_connection->receiveAll();
    if (!body.ok()) {
        m_connection->close();
    }
}

AttemptEnd Call::endOf(const absl::Status &status) const
{
    return failureCode(status) == FailureCode::ConnectionSilent ? AttemptEnd::Silent : AttemptEnd::Broken;
}

Duration Call::firstAnswerWait(const Placement &placement) const
{
    const Duration left = std::max(timeLeft(), kShortestWait);
    if (!mayRunAgain() || m_history.sent >= m_history.maximumAttempts) {
        return left;
    }
    const auto late = std::chrono::duration<double, std::micro>(m_route->targetLatency) * m_services.times.lateTargets;
    return std::min(left, placement.expectedFirstAnswer + std::chrono::duration_cast<Duration>(late));
}

Duration Call::nextEventWait() const
{
    const Duration left = std::max(timeLeft(), kShortestWait);
    if (!mayRunAgain() || m_history.sent >= m_history.maximumAttempts) {
        return left;
    }
    return std::min(left, m_services.times.eventSilence);
}

void Call::logAttempt(const Placement &placement, AttemptEnd end) const
{
    m_services.metrics.noteAttemptFailed(end);
    kLog.info("attempt failed",
              {field("call", m_request.id.value()), field("endpoint", placement.endpoint.value()),
               field("address", placement.address), field("end", attemptEndName(end)), field("sent", m_history.sent),
               field("events", m_cutter.count()), field("may_have_run", m_history.mayHaveRun),
               field("silent_for", sinceHeard()),
               field("noticed_late", m_expiredWait ? m_expiredWait->late : Duration::zero()),
               field("unread", m_expiredWait ? m_expiredWait->unread : std::size_t(0)),
               field("time_left", timeLeft())});
}

Duration Call::sinceHeard() const
{
    return m_heardAt == Instant() ? Duration::zero() : m_services.timers.now() - m_heardAt;
}

}
