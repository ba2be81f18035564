#include "call.h"

#include "asyncresult.h"
#include "base/failure.h"
#include "log.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

/// An endpoint that is asked for its start at a continuation and does not answer is taken at its entry's word then.
constexpr Duration kContinuationWait = std::chrono::milliseconds(500);
/// Before the process that wrote an answer is asked again.
constexpr Duration kQuestionPause = std::chrono::milliseconds(20);
/// A process that was late passes on what had arrived by the deadline within this.
constexpr Duration kLateEvents = std::chrono::milliseconds(100);

absl::Status tooLong()
{
    return withUnknownOutcome(makeFailure(FailureCode::MessageTooLarge, "the answer is longer than is accepted"));
}

}

net::awaitable<Call::AttemptResult> Call::relay()
{
    if (!m_attempt.connection) {
        co_return endUnsent(m_attempt);
    }
    const absl::StatusOr<AnswerHead> head = co_await awaitHead();
    if (!head.ok()) {
        co_return endUnanswered(m_attempt, head.status());
    }
    if (head->isRefusal) {
        co_return co_await endRefused(m_attempt, *head);
    }
    m_history.mayHaveRun = true;
    // An error status cannot be sent after events that the caller has already received.
    if (!head->isSigned || (m_hasStreamStarted && !isSuccess(head->status))) {
        co_return AttemptEnd::Broken;
    }
    m_attempt.hasFailed = isServerError(head->status);
    m_attempt.framing = m_attempt.connection->framing();
    const bool isStream = m_route->isStreamed && isSuccess(head->status);
    const AttemptResult result = isStream ? co_await relayStream(*head) : co_await relayWhole(*head);
    if (!result) {
        const ConnectionPointer connection = std::exchange(m_attempt.connection, nullptr);
        m_services.connections.release(m_attempt.placement.endpoint, connection, head->idleTimeout);
    }
    co_return result;
}

net::awaitable<absl::StatusOr<AnswerHead>> Call::awaitHead()
{
    if (m_attempt.head) {
        co_return *m_attempt.head;
    }
    Duration wait = firstAnswerWait();
    while (true) {
        const Duration span = silenceTimeout(wait);
        m_attempt.connection->expireAfter(span, atExpiry(span), remainingWait());
        const absl::StatusOr<AnswerHead> head = co_await readHead(m_attempt);
        if (head.ok() || !isSilentButOpen(m_attempt, head.status())) {
            co_return head;
        }
        const bool isReplaced = co_await findSuccessor();
        if (isReplaced) {
            co_return head;
        }
        wait = m_services.times.successorRetryInterval;
    }
}

net::awaitable<Call::AttemptResult> Call::relayWhole(const AnswerHead &head)
{
    HttpConnection &connection = *m_attempt.connection;
    HeldAnswer held = holdAnswer();
    connection.expireAfter(remainingWait());
    absl::StatusOr<std::string> body = co_await connection.receiveAll(held);
    if (!body.ok()) {
        co_return endUnanswered(m_attempt, held.isGivenUp() ? tooLong() : body.status());
    }
    const absl::Status ended = co_await checkEnd();
    if (!ended.ok()) {
        co_return endUnanswered(m_attempt, ended);
    }
    held.complete();
    noteFirstAnswer();
    m_isAnswered = true;
    m_answeredStatus = head.status;
    HttpResponse response;
    response.status = head.status;
    response.headers = m_services.protocol.callerHeaders(connection.headers());
    response.body = std::move(*body);
    if (!m_isCallerDisconnected) {
        noteDelivery(co_await m_exchange.respond(std::move(response)));
    }
    co_return std::nullopt;
}

net::awaitable<Call::AttemptResult> Call::relayStream(const AnswerHead &head)
{
    m_eventSplitter.restart();
    HeldAnswer held = holdAnswer();
    while (true) {
        const absl::StatusOr<std::string> data = co_await awaitEvents();
        if (!data.ok()) {
            co_return endUnanswered(m_attempt, held.isGivenUp() ? tooLong() : data.status());
        }
        if (data->empty()) {
            break;
        }
        noteAnswering();
        const bool mayForward = co_await mayForwardEvents();
        if (!mayForward) {
            co_return AttemptEnd::Broken;
        }
        const std::string events = m_eventSplitter.take(*data);
        if (!events.empty()) {
            const absl::Status status = co_await forwardToCaller(head, events);
            if (!status.ok()) {
                m_isCallerDisconnected = true;
                co_return AttemptEnd::Broken;
            }
        }
        if (m_eventSplitter.hasGap()) {
            co_return AttemptEnd::Broken;
        }
        const absl::Status status = checkStream(held);
        if (!status.ok()) {
            co_return endUnanswered(m_attempt, status);
        }
    }
    if (!m_eventSplitter.isBetweenEvents() || hasEndedBeforeFirstEvent()) {
        m_attempt.failure = makeFailure(FailureCode::ConnectionLost, "the stream ended before or inside an event");
        co_return AttemptEnd::Broken;
    }
    const absl::Status ended = co_await checkEnd();
    if (!ended.ok()) {
        co_return endUnanswered(m_attempt, ended);
    }
    if (!m_hasStreamStarted) {
        noteDelivery(co_await forwardToCaller(head, std::string()));
    }
    m_isAnswered = true;
    noteDelivery(co_await m_exchange.endStream());
    co_return std::nullopt;
}

// An answer without length or chunks is whole if the process that wrote it ended the connection. The kernel of a
// process that was killed ends it in the same way.
net::awaitable<absl::Status> Call::checkEnd()
{
    if (!endsWithConnection(m_attempt)) {
        co_return absl::OkStatus();
    }
    m_attempt.writer = co_await askWriter(remainingWait());
    while (m_attempt.writer == WriterState::Unknown && mustAwaitWriter()) {
        co_await awaitPause(m_services.timers, kQuestionPause);
        m_attempt.writer = co_await askWriter(remainingWait());
    }
    m_services.metrics.noteEndedWithConnection(*m_attempt.writer);
    if (m_attempt.writer == WriterState::Runs) {
        co_return absl::OkStatus();
    }
    co_return makeFailure(FailureCode::ConnectionLost, "the answer ended with its endpoint's process");
}

// Unknown if there is no answer after the longest wait.
net::awaitable<WriterState> Call::askWriter(Duration longest)
{
    const Placement &placement = m_attempt.placement;
    EndpointIncarnation incarnation = incarnationOf(placement);
    if (!placement.isStartKnown) {
        incarnation.startedAtMilliseconds = 0;
    }
    const auto start = [this, &incarnation, &placement, longest](WriterProbe::Callback done) {
        const auto waiting = std::make_shared<WriterProbe::Callback>(std::move(done));
        const auto answer = [waiting](WriterState state) {
            if (const WriterProbe::Callback callback = std::exchange(*waiting, nullptr)) {
                callback(state);
            }
        };
        TimerService &timers = m_services.timers;
        const TimerId timer = timers.after(longest, [answer] {
            answer(WriterState::Unknown);
        });
        m_services.writers.probe(incarnation, placement.address, [answer, timer, &timers](WriterState state) {
            timers.cancel(timer);
            answer(state);
        });
    };
    co_return co_await awaitCallback<WriterState>(start);
}

HeldAnswer Call::holdAnswer()
{
    return {m_services.answers, [connection = m_attempt.connection] {
                connection->close();
            }};
}

// Waits for events are short when the deadline has passed. An endpoint whose bytes are always there needs no wait.
absl::Status Call::checkStream(HeldAnswer &held) const
{
    if (m_eventSplitter.isTooLong() || !held.admits(m_eventSplitter.heldBytes())) {
        return tooLong();
    }
    if (timeLeft() < -kLateEvents) {
        return withUnknownOutcome(
            makeFailure(FailureCode::ConnectionSilent, "the stream did not end before the deadline"));
    }
    return absl::OkStatus();
}

// An endpoint that stands still may have ended its answer before. A call that no other endpoint can take over waits for
// it.
bool Call::mustAwaitWriter() const
{
    const bool mayBeReplaced = mayRunAgain() && m_history.sent < m_history.maximumAttempts;
    return !mayBeReplaced && !m_isCallerDisconnected && timeLeft() > Duration::zero();
}

// Where the end of the connection is the end of the answer, an endpoint that crashes as it begins to write looks as if
// it had nothing to say.
bool Call::hasEndedBeforeFirstEvent() const
{
    return endsWithConnection(m_attempt) && !m_hasStreamStarted && !m_eventSplitter.lastEvent();
}

bool Call::endsWithConnection(const Attempt &attempt)
{
    return attempt.framing == AnswerFraming::Connection;
}

std::string_view Call::framingName(const Attempt &attempt)
{
    return attempt.framing ? answerFramingName(*attempt.framing) : std::string_view();
}

net::awaitable<absl::StatusOr<std::string>> Call::awaitEvents()
{
    Duration wait = m_services.times.eventSilenceTimeout;
    while (true) {
        const Duration span = silenceTimeout(wait);
        absl::StatusOr<std::string> data =
            co_await m_attempt.connection->receiveSome(span, atExpiry(span), remainingWait());
        if (data.ok()) {
            m_attempt.lastActivityAt = m_services.timers.now();
            m_attempt.answeringSince = m_attempt.answeringSince.value_or(m_attempt.lastActivityAt);
        }
        if (data.ok() || !isSilentButOpen(m_attempt, data.status())) {
            co_return data;
        }
        const bool isReplaced = co_await findSuccessor();
        if (isReplaced) {
            co_return data;
        }
        wait = m_services.times.successorRetryInterval;
    }
}

net::awaitable<absl::Status> Call::forwardToCaller(const AnswerHead &head, const std::string &events)
{
    if (!events.empty() && m_firstWriter.isEmpty()) {
        noteFirstEvents();
    }
    if (!m_hasStreamStarted) {
        noteFirstAnswer();
        m_hasStreamStarted = true;
        m_answeredStatus = head.status;
        HttpHeaders headers = m_services.protocol.callerHeaders(m_attempt.connection->headers());
        const absl::Status status = co_await m_exchange.beginStream(head.status, std::move(headers));
        if (!status.ok()) {
            co_return status;
        }
    }
    co_return co_await m_exchange.write(events);
}

// The origin is recorded before the caller has an event, so that whoever the caller asks next can find it.
void Call::noteFirstEvents()
{
    const Placement &placement = m_attempt.placement;
    m_firstWriter = placement.endpoint;
    if (!m_streamOrigin) {
        m_streamOrigin = StreamOrigin{organisation(), m_pool->name, m_services.gate.writerVersion(placement)};
    }
    if (m_route->repetition == Repetition::ByResuming) {
        m_services.streamOrigins.note({m_request.id, *m_streamOrigin});
    }
}

// Asks the endpoint for its start at the first event of a continuation: its entry may lag behind a restart that nobody
// has reported yet, and the events would be of another version.
net::awaitable<bool> Call::mayForwardEvents()
{
    const Placement &placement = m_attempt.placement;
    const bool hasStart = placement.isStartKnown && placement.startedAtMilliseconds > 0;
    if (m_attempt.isContinuation && hasStart && !std::exchange(m_attempt.isStartAsked, true)) {
        const WriterState writer = co_await askWriter(limitToTimeLeft(kContinuationWait));
        if (writer == WriterState::Ended) {
            m_attempt.failure = makeFailure(FailureCode::StreamVersionGone, "the endpoint has started again");
            co_return false;
        }
    }
    co_return checkWriter();
}

// The connections of an incarnation end with it. What still comes is from a later one, which had taken the call before
// anybody knew of it, and whose version is not known. Returns whether it may be forwarded.
bool Call::checkWriter()
{
    if (m_services.gate.isAtCurrentIncarnation(m_attempt.placement.id)) {
        return true;
    }
    if (m_attempt.isContinuation) {
        m_attempt.failure = makeFailure(FailureCode::StreamVersionGone, "the endpoint has started again");
        return false;
    }
    const bool isRecorded = m_streamOrigin && !m_streamOrigin->version.isEmpty();
    if (isRecorded && m_route->repetition == Repetition::ByResuming) {
        m_streamOrigin->version = SoftwareVersion();
        m_services.streamOrigins.note({m_request.id, *m_streamOrigin});
    }
    return true;
}

void Call::noteFirstAnswer()
{
    m_services.gate.noteFirstAnswer(m_attempt.placement.id);
    m_firstAnswerTime = m_services.timers.now() - m_startedAt;
    m_services.metrics.noteFirstAnswer(*m_firstAnswerTime);
}

Duration Call::firstAnswerWait() const
{
    const auto late =
        std::chrono::duration<double, std::micro>(m_route->targetLatency) * m_services.times.lateAnswerLatencyFactor;
    return m_attempt.placement.expectedFirstAnswer + std::chrono::duration_cast<Duration>(late);
}

}
