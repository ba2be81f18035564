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

/// A duplicate answer precedes the answer to a call. An endpoint that sends more of them never comes to its answer.
constexpr int kMaximumStrayAnswers = 8;
/// Refusals have short bodies, which nobody reads.
constexpr std::size_t kMaximumRefusalBytes = 64 * 1024;

RunEnd runEndWithoutAnswer(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::RefusedByEndpoint:
        return RunEnd::Refused;
    case AttemptEnd::WrongEndpoint:
        // Another endpoint answered, which says nothing about the health of the expected one.
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

// On failure the attempt is left without a connection.
net::awaitable<absl::Status> Call::connect(Attempt &attempt)
{
    // The caller disconnected after the endpoint was chosen, when there was no connection to close yet.
    if (m_isCallerDisconnected) {
        co_return makeFailure(FailureCode::ConnectionLost, "the caller is gone");
    }
    const Duration maximumIdle =
        mayRunAgain() ? m_services.times.maximumIdle : m_services.times.maximumIdleUnrepeatable;
    attempt.connection = m_services.connections.takeIdle(attempt.placement.endpoint, maximumIdle);
    absl::Status status;
    if (!attempt.connection) {
        status = co_await connectAnew(attempt);
    }
    if (status.ok()) {
        status = checkBeforeSending(attempt);
        attempt.isWithdrawn = !status.ok();
    }
    if (!status.ok()) {
        m_services.connections.closeIdle(attempt.placement.endpoint);
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
    absl::Status status =
        co_await attempt.connection->connect(limitToTimeLeft(m_services.connections.connectTimeout()));
    noteConnectTime(placement, m_services.timers.now() - askedAt, status);
    if (attempt.connection->wasRefused()) {
        m_services.gate.noteCrashed(incarnationOf(placement));
    }
    co_return status;
}

// The caller, the endpoint or the request may have changed state while the connection was being established.
absl::Status Call::checkBeforeSending(const Attempt &attempt) const
{
    if (m_isCallerDisconnected) {
        return makeFailure(FailureCode::ConnectionLost, "the caller is gone");
    }
    if (!m_services.gate.mayStillBeSent(attempt.placement.id)) {
        return makeFailure(FailureCode::Overloaded, "the endpoint stopped accepting calls before the call was sent");
    }
    return checkPoison();
}

AttemptEnd Call::endUnsent(const Attempt &attempt)
{
    return attempt.isWithdrawn ? AttemptEnd::Withdrawn : AttemptEnd::NotSent;
}

// Reports the connect time to the link shedder. A connect that was cut short by the deadline of the call is not
// reported, since it says nothing about the link.
void Call::noteConnectTime(const Placement &placement, Duration taken, const absl::Status &status) const
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
    attempt.crashesBefore = m_services.poison.hasSuspects() ? m_services.poison.crashes(fingerprint()) : 0;
    CallDispatch dispatch;
    dispatch.endpoint = attempt.placement.endpoint;
    dispatch.organisation = organisation();
    dispatch.timeLeft = m_deadline - m_services.timers.now();
    dispatch.priority = priority();
    dispatch.lastEvent = m_eventSplitter.lastEvent();
    attempt.lastActivityAt = m_services.timers.now();
    attempt.isContinuation = !m_firstWriter.isEmpty() || continuesStream();
    noteContinued(attempt);
    attempt.connection->startSending(m_services.protocol.endpointCall(m_exchange.request(), dispatch));
}

void Call::noteContinued(const Attempt &attempt) const
{
    const bool isByGateway = !m_firstWriter.isEmpty();
    if (!attempt.isContinuation) {
        return;
    }
    const StreamOrigin origin = m_streamOrigin.value_or(StreamOrigin());
    const SoftwareVersion &version = attempt.placement.softwareVersion;
    ContinuedAt at = ContinuedAt::UnknownVersion;
    if (!origin.version.isEmpty()) {
        at = origin.version == version ? ContinuedAt::SameVersion : ContinuedAt::OtherVersion;
    }
    m_services.metrics.noteContinued(isByGateway ? ContinuedBy::Gateway : ContinuedBy::Caller, at);
    if (!m_services.failureSampler.shouldLog(m_request.id, m_services.timers.now())) {
        return;
    }
    kLog.info("stream continues at an endpoint",
              {field("call", m_request.id.value()),
               field("resumes", m_request.resumedCall.value_or(RequestId()).value()),
               field("last_event", m_eventSplitter.lastEvent().value_or(0)), field("begun_at", m_firstWriter.value()),
               field("begun_at_version", origin.version.value()), field("endpoint", attempt.placement.endpoint.value()),
               field("software_version", version.value())});
}

// Reads until the connection's deadline. After a deadline that only pauses, the next call resumes where this one
// stopped.
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
        attempt.lastActivityAt = m_services.timers.now();
        const AnswerHead head = m_services.protocol.readAnswer(connection.status(), connection.headers());
        const bool isOurs = head.call ? *head.call == m_request.id : !isSuccess(head.status);
        if (isOurs && !head.call && mayBeginWithOtherAnswers(attempt)) {
            co_return withUnknownOutcome(makeFailure(
                FailureCode::MalformedMessage, "an answer that names no call came on a connection of earlier calls"));
        }
        if (isOurs) {
            applyNotice(attempt, head);
            co_return head;
        }
        attempt.isReadingStrayAnswer = true;
        if (++attempt.strayAnswers > kMaximumStrayAnswers) {
            co_return withUnknownOutcome(
                makeFailure(FailureCode::MessageTooLarge, "too many answers to other calls came first"));
        }
    }
}

// Bytes behind an earlier answer may come late, in place of the answer to this call. If they name no call, they tell
// nothing about this one, which may have run.
bool Call::mayBeginWithOtherAnswers(const Attempt &attempt)
{
    return attempt.connection->wasIdle() || attempt.strayAnswers > 0;
}

void Call::applyNotice(const Attempt &attempt, const AnswerHead &head) const
{
    // If the address now belongs to another endpoint, its notice does not apply to the expected one.
    if (head.isOtherEndpoint) {
        return;
    }
    const EndpointId &endpoint = attempt.placement.endpoint;
    for (const NoticeField unreadable : head.notice.unreadable) {
        if (m_services.sampler.shouldLog(m_request.id, m_services.timers.now())) {
            kLog.error("malformed header in an endpoint's answer",
                       {field("endpoint", endpoint.value()), field("field", noticeFieldName(unreadable))});
        }
    }
    const NoticeChanges changes = m_services.gate.noteNotice(attempt.placement.id, head.notice);
    if (changes.hasLimitChanged) {
        const std::optional<double> &limit = head.notice.callsPerSecond;
        kLog.info(limit ? "endpoint announces a call limit" : "endpoint no longer announces a call limit",
                  {field("call", m_request.id.value()), field("endpoint", endpoint.value()),
                   field("calls_per_second", std::to_string(limit.value_or(0)))});
        m_services.limits.noteLimit(endpoint, limit);
    }
    if (changes.isLeavingNow) {
        kLog.info("endpoint announces that it is leaving",
                  {field("call", m_request.id.value()), field("endpoint", endpoint.value())});
    }
    if (changes.isBackoffLonger) {
        m_services.metrics.noteBackoff();
        if (m_services.failureSampler.shouldLog(m_request.id, m_services.timers.now())) {
            kLog.warning("endpoint asks for backoff",
                         {field("call", m_request.id.value()), field("endpoint", endpoint.value()),
                          field("backoff", *head.notice.backoff), field("sent", m_history.sent)});
        }
    }
}

// Skips a duplicate answer to an earlier call on this connection. It arrives in place of the answer to this call and
// carries the id of the earlier call; the answer to this call follows it.
net::awaitable<absl::Status> Call::skipStrayAnswer(Attempt &attempt)
{
    if (!attempt.isReadingStrayAnswer) {
        co_return absl::OkStatus();
    }
    const absl::Status status = co_await attempt.connection->skipBody(m_services.answers.maximumAnswerBytes());
    attempt.isReadingStrayAnswer = !status.ok();
    co_return status;
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
    if (failureCode(status) == FailureCode::MessageTooLarge) {
        m_services.metrics.noteTooLong();
    }
    return failureCode(status) == FailureCode::ConnectionSilent ? AttemptEnd::Silent : AttemptEnd::Broken;
}

net::awaitable<AttemptEnd> Call::endRefused(Attempt &attempt, const AnswerHead &head)
{
    const ConnectionPointer connection = std::exchange(attempt.connection, nullptr);
    connection->expireAfter(m_services.times.refusalBodyTimeout);
    attempt.failure = co_await connection->skipBody(kMaximumRefusalBytes);
    if (!attempt.failure.ok()) {
        connection->close();
    }
    if (failureCode(attempt.failure) == FailureCode::MessageTooLarge) {
        m_services.metrics.noteTooLong();
    }
    m_services.connections.release(attempt.placement.endpoint, connection, head.idleTimeout);
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

// A broken connection may mean that the endpoint has crashed because of this request. A complete answer, even with an
// error status, shows that the request has not crashed the endpoint.
void Call::notePoison(const Attempt &attempt, AttemptResult result)
{
    const bool isLost = failureCode(attempt.failure) == FailureCode::ConnectionLost;
    if (result == AttemptEnd::Broken && isLost && !m_isCallerDisconnected) {
        m_services.poison.noteBroken(crashedRun(attempt), attempt.placement.address);
    }
    if (result || !m_services.poison.hasSuspects()) {
        return;
    }
    m_services.poison.noteAnswered(fingerprint(), sharedPrompt());
}

EndpointIncarnation Call::incarnationOf(const Placement &placement)
{
    return {placement.endpoint, placement.startedAtMilliseconds};
}

CrashedRun Call::crashedRun(const Attempt &attempt) const
{
    const EndpointIncarnation incarnation = incarnationOf(attempt.placement);
    const bool isSound = answeringTime(attempt) >= m_services.times.soundAnswerTime;
    return {incarnation, fingerprint(), attempt.crashesBefore, isSound ? SharedPrompt() : sharedPrompt()};
}

// Long answers tell early that their prompt crashes nothing.
void Call::noteAnswering()
{
    constexpr Duration kInterval = std::chrono::milliseconds(200);
    const Instant now = m_services.timers.now();
    const bool isDue = m_answeringNotedAt == Instant::min() || now - m_answeringNotedAt >= kInterval;
    if (isDue && m_services.poison.hasSuspects() && answeringTime(m_attempt) >= m_services.times.soundAnswerTime) {
        m_answeringNotedAt = now;
        m_services.poison.noteAnswering(sharedPrompt());
    }
}

// A relayed server error counts as a failure of the endpoint: an endpoint may pass its health checks and still fail
// calls.
RunEnd Call::runEndOf(const Attempt &attempt, AttemptResult result) const
{
    if (!result) {
        return attempt.hasFailed ? RunEnd::Failed : RunEnd::Ok;
    }
    return m_isCallerDisconnected ? RunEnd::Cancelled : runEndWithoutAnswer(*result);
}

// If the wait ends before the deadline of the call, the connection stays open while the gateway looks for another
// endpoint.
AtExpiry Call::atExpiry(Duration wait) const
{
    return wait < timeLeft() ? AtExpiry::Pause : AtExpiry::Close;
}

void Call::logAttempt(const Attempt &attempt, AttemptEnd end) const
{
    m_services.metrics.noteAttemptFailed(end);
    if (!m_services.failureSampler.shouldLog(m_request.id, m_services.timers.now())) {
        return;
    }
    const ExpiredWait wait =
        attempt.connection ? attempt.connection->expiredWait().value_or(ExpiredWait()) : ExpiredWait();
    kLog.info("attempt failed",
              {field("call", m_request.id.value()), field("content", fingerprint().toString()),
               field("parts", partIdsText(sharedPrompt().parts)), field("answering_for", answeringTime(attempt)),
               field("endpoint", attempt.placement.endpoint.value()), field("address", attempt.placement.address),
               field("software_version", attempt.placement.softwareVersion.value()), field("end", attemptEndName(end)),
               field("reason", std::string(attempt.failure.message())), field("sent", m_history.sent),
               field("framing", framingName(attempt)), field("events", m_eventSplitter.count()),
               field("may_have_run", m_history.mayHaveRun), field("silent_for", silenceDuration(attempt)),
               field("noticed_late", wait.late), field("unread", wait.unread), field("time_left", timeLeft())});
}

Duration Call::silenceDuration(const Attempt &attempt) const
{
    return attempt.lastActivityAt == Instant() ? Duration::zero() : m_services.timers.now() - attempt.lastActivityAt;
}

// Until the last bytes arrived: a silent endpoint does not go on writing.
Duration Call::answeringTime(const Attempt &attempt) const
{
    return attempt.answeringSince ? attempt.lastActivityAt - *attempt.answeringSince : Duration::zero();
}

}
