#include "agentruns.h"

#include "base/failure.h"
#include "log.h"
#include "wireconversion.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("runs");

constexpr Duration kExpiryInterval = std::chrono::seconds(5);
/// A caller whose entry was lost comes back within this time; a leaving agent waits so long for it.
constexpr Duration kFetchGrace = std::chrono::seconds(5);

RunTableSettings tableSettings(const AgentRunsSettings &settings)
{
    RunTableSettings table = settings.runTable;
    table.agentAddress = settings.address;
    return table;
}

}

AgentRuns::AgentRuns(Endpoint &endpoint, EndpointMonitor &monitor, AgentMetrics &metrics, TimerService &timers,
                     AgentRunsSettings settings)
    : m_endpoint(endpoint)
    , m_monitor(monitor)
    , m_metrics(metrics)
    , m_timers(timers)
    , m_settings(std::move(settings))
    , m_table(timers, tableSettings(m_settings))
    , m_answers(timers, m_settings.answerBuffer)
{
}

void AgentRuns::start()
{
    m_timers.every(kExpiryInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->expire();
        }
    });
}

void AgentRuns::run(const wire::RunRequest &request, const MessageStreamPointer &stream)
{
    const std::lock_guard lock(m_mutex);
    if (request.request_id().empty() || request.attempt_id().empty()) {
        return refuse(stream, request.attempt_id(), makeFailure(FailureCode::InvalidRequest, "an id is missing"));
    }
    const bool isLate = request.deadline_ms() <= 0;
    if (isLate
        && m_table.bar(RequestId(request.request_id()), AttemptId(request.attempt_id())).state == RunState::Barred) {
        return refuse(stream, request.attempt_id(),
                      makeFailure(FailureCode::DeadlineExceeded, "the deadline had passed before the run came"));
    }
    const absl::StatusOr<RunDecision> decision = m_table.start(runStartFromWire(request));
    if (!decision.ok()) {
        return refuse(stream, request.attempt_id(), decision.status());
    }
    if (decision->action == RunDecision::Action::Start) {
        return startRun(request, stream);
    }
    m_metrics.noteAttached();
    const AttemptId asked(request.attempt_id());
    addReader(stream, std::make_shared<AnswerReader>(stream, decision->record.attempt, asked, 0),
              decision->record.request);
}

// This life does not know which portions an earlier one was told are closed; a run that was granted in view of the
// earlier one could spend tokens that have gone back to the budget. The attempt was sent here alone, so barred here it
// has run nowhere.
void AgentRuns::refuseForOtherLife(const wire::RunRequest &request, const MessageStreamPointer &stream)
{
    const std::lock_guard lock(m_mutex);
    m_table.bar(RequestId(request.request_id()), AttemptId(request.attempt_id()));
    refuse(stream, request.attempt_id(),
           makeFailure(FailureCode::EndpointLeaving, "the life of the agent that was meant is gone"));
}

void AgentRuns::startRun(const wire::RunRequest &request, const MessageStreamPointer &stream)
{
    const AttemptId attempt(request.attempt_id());
    absl::Status status = m_answers.open(attempt);
    if (status.ok()) {
        status = m_answers.append(attempt, request.prior_answer());
    }
    if (!status.ok()) {
        m_answers.finish(attempt, {status});
        m_table.noteNotStarted(attempt);
        return refuse(stream, request.attempt_id(), status);
    }
    m_metrics.noteStarted();
    if (request.prior_completion_tokens() > 0) {
        m_priorTokens[attempt] = request.prior_completion_tokens();
    }
    m_monitor.noteRunStarted(request.reserved_tokens());
    addReader(stream, std::make_shared<AnswerReader>(stream, attempt, attempt, 0), RequestId(request.request_id()));
    auto run = std::make_unique<RunInProgress>(request);
    run->startedAt = m_timers.now();
    run->heardAt = run->startedAt;
    run->patience = RunInProgress::firstBytePatience(request, m_settings.firstByteTimeout);
    watchSilence(attempt, *run, run->patience);
    run->deadlineTimer = m_timers.after(runDeadline(request), [weak = weak_from_this(), attempt] {
        if (const auto self = weak.lock()) {
            self->abandon(attempt, makeFailure(FailureCode::DeadlineExceeded, "the request's deadline has passed"));
        }
    });
    run->call =
        m_endpoint.call(RunInProgress::endpointRequest(request, m_settings.firstByteTimeout), callbacksFor(attempt));
    m_runs[attempt] = std::move(run);
}

EndpointCallbacks AgentRuns::callbacksFor(const AttemptId &attempt)
{
    EndpointCallbacks callbacks;
    callbacks.onHead = [weak = weak_from_this(), attempt](AnswerHead head) {
        if (const auto self = weak.lock()) {
            self->takeHead(attempt, std::move(head));
        }
    };
    callbacks.onBytes = [weak = weak_from_this(), attempt](const std::string &bytes) {
        if (const auto self = weak.lock()) {
            self->takeBytes(attempt, bytes);
        }
    };
    callbacks.onEnd = [weak = weak_from_this(), attempt](const absl::Status &status) {
        if (const auto self = weak.lock()) {
            self->takeEnd(attempt, status);
        }
    };
    return callbacks;
}

void AgentRuns::attach(const wire::AttachRequest &request, const MessageStreamPointer &stream)
{
    const std::lock_guard lock(m_mutex);
    const RequestId requestId(request.request_id());
    RunRecord record = m_table.find(requestId, AttemptId(request.attempt_id()));
    if (record.state == RunState::Unknown || record.state == RunState::Barred) {
        record = m_table.findAttachable(requestId);
    }
    if (record.state == RunState::Unknown) {
        // The run's own frame may still be on its way on a connection that was given up. It must not start after this
        // answer, which says that it did not.
        if (!request.may_still_come()) {
            m_table.bar(requestId, AttemptId(request.attempt_id()));
        }
        return refuse(stream, request.attempt_id(), makeFailure(FailureCode::RunUnknown, "no such run is known here"));
    }
    m_metrics.noteAttached();
    const AttemptId asked(request.attempt_id());
    addReader(stream, std::make_shared<AnswerReader>(stream, record.attempt, asked, request.offset()), requestId);
}

void AgentRuns::addReader(const MessageStreamPointer &stream, AnswerReaders::ReaderPointer reader,
                          const RequestId &request)
{
    const AttemptId attempt = reader->attempt();
    const auto prior = m_priorTokens.find(attempt);
    reader->sendAccepted(request, prior == m_priorTokens.end() ? 0 : prior->second);
    m_readers.add(stream.get(), std::move(reader));
    pumpAll(attempt);
}

void AgentRuns::refuse(const MessageStreamPointer &stream, const std::string &attempt, const absl::Status &status)
{
    m_metrics.noteRefused(status);
    wire::RunUpdate update;
    update.set_attempt_id(attempt);
    *update.mutable_refused() = failureToWire(status);
    stream->send(update.SerializeAsString());
    stream->finish();
}

void AgentRuns::noteStreamClosed(const MessageStream *stream, const absl::Status &status)
{
    const std::lock_guard lock(m_mutex);
    m_readers.noteClosed(stream, status);
}

wire::RunRecord AgentRuns::bar(const wire::BarRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const RequestId requestId(request.request_id());
    const AttemptId attempt(request.attempt_id());
    const RunRecord record = m_table.bar(requestId, attempt);
    const auto it = m_runs.find(attempt);
    const bool isStopped = request.cancel() && !(request.unless_read() && m_readers.hasReader(attempt));
    if (isStopped && it != m_runs.end()) {
        it->second->call->cancel();
        RunResult result;
        result.status = withUnknownOutcome(makeFailure(FailureCode::OutcomeUnknown, "the run was cancelled"));
        endRun(attempt, result);
        return describe(m_table.find(requestId, attempt));
    }
    return describe(record);
}

wire::FindRunsAnswer AgentRuns::find(const wire::FindRunsRequest &request)
{
    const std::lock_guard lock(m_mutex);
    std::vector<RequestId> requests;
    for (const std::string &id : request.request_ids()) {
        requests.emplace_back(id);
    }
    wire::FindRunsAnswer answer;
    for (const RunRecord &record : m_table.findRuns(requests, request.shard(), request.epoch())) {
        *answer.add_runs() = describe(record);
    }
    return answer;
}

wire::ClosePortionsAnswer AgentRuns::close(const wire::ClosePortionsRequest &request)
{
    const std::lock_guard lock(m_mutex);
    std::vector<PortionId> portions;
    for (const std::string &id : request.portion_ids()) {
        portions.emplace_back(id);
    }
    wire::ClosePortionsAnswer answer;
    for (const PortionCharges &charges : m_table.closePortions(portions)) {
        *answer.add_portions() = portionChargesToWire(charges);
    }
    return answer;
}

void AgentRuns::setLeaving()
{
    const std::lock_guard lock(m_mutex);
    m_table.setLeaving();
}

bool AgentRuns::isIdle() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.runningCount() == 0 && m_readers.isEmpty() && !m_answers.hasUnfetchedSince(kFetchGrace);
}

int AgentRuns::runningCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.runningCount();
}

std::size_t AgentRuns::keptBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_answers.totalBytes();
}

void AgentRuns::takeHead(const AttemptId &attempt, AnswerHead head)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runs.find(attempt);
    if (it == m_runs.end()) {
        return;
    }
    it->second->heardAt = m_timers.now();
    RunResult result;
    result.status = it->second->takeHead(head);
    if (!result.status.ok()) {
        it->second->call->cancel();
        return endRun(attempt, result);
    }
    m_answers.setHead(attempt, std::move(head));
    pumpAll(attempt);
}

void AgentRuns::takeBytes(const AttemptId &attempt, const std::string &bytes)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runs.find(attempt);
    if (it == m_runs.end()) {
        return;
    }
    RunInProgress &run = *it->second;
    run.heardAt = m_timers.now();
    if (!std::exchange(run.hasBytes, true)) {
        m_metrics.noteFirstByte(run.heardAt - run.startedAt);
        m_timers.cancel(run.silenceTimer);
        run.patience = m_settings.silenceTimeout;
        watchSilence(attempt, run, run.patience);
    }
    m_metrics.noteBytes(bytes.size());
    absl::Status status = m_answers.append(attempt, bytes);
    noteDropped();
    if (status.ok()) {
        pumpAll(attempt);
        status = it->second->takeBytes(bytes);
    }
    if (!status.ok()) {
        it->second->call->cancel();
        RunResult result;
        result.status = withUnknownOutcome(std::move(status));
        endRun(attempt, result);
    }
}

void AgentRuns::takeEnd(const AttemptId &attempt, const absl::Status &status)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runs.find(attempt);
    if (it == m_runs.end()) {
        return;
    }
    const BufferedAnswer *answer = m_answers.find(attempt);
    endRun(attempt, it->second->finish(status, answer->bytes));
}

void AgentRuns::abandon(const AttemptId &attempt, const absl::Status &status)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runs.find(attempt);
    if (it == m_runs.end()) {
        return;
    }
    it->second->call->cancel();
    RunResult result;
    result.status = withUnknownOutcome(status);
    endRun(attempt, result);
}

void AgentRuns::watchSilence(const AttemptId &attempt, RunInProgress &run, Duration span)
{
    if (span <= Duration::zero()) {
        return;
    }
    run.silenceTimer = m_timers.after(span, [weak = weak_from_this(), attempt] {
        if (const auto self = weak.lock()) {
            self->lookForSilence(attempt);
        }
    });
}

// An endpoint may be at work without a word: it reads a long prompt, or another call's. The agent doesn't know whether
// the run can go on elsewhere, so it tells of the silence and ends nothing. The timer is set anew when it fires and not
// at each token.
void AgentRuns::lookForSilence(const AttemptId &attempt)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runs.find(attempt);
    if (it == m_runs.end()) {
        return;
    }
    RunInProgress &run = *it->second;
    const Duration silence = m_timers.now() - run.heardAt;
    if (silence < run.patience) {
        return watchSilence(attempt, run, run.patience - silence);
    }
    kLog.info("run silent", {field("attempt", attempt.value()), field("silent_for", silence)});
    m_readers.pumpAll(attempt, [silence](const AnswerReaders::ReaderPointer &reader) {
        reader->sendSilent(silence);
    });
    watchSilence(attempt, run, run.patience);
}

void AgentRuns::endRun(const AttemptId &attempt, const RunResult &result)
{
    const std::unique_ptr<RunInProgress> run = std::move(m_runs.at(attempt));
    m_runs.erase(attempt);
    m_timers.cancel(run->deadlineTimer);
    m_timers.cancel(run->silenceTimer);
    m_monitor.noteRunEnded();
    AnswerEnd end{result.status, result.promptTokens, result.completionTokens, 0};
    if (result.status.ok()) {
        end.chargedTokens = m_table.noteDone(attempt, result.usedTokens);
        m_metrics.noteDone(m_timers.now() - run->startedAt, end.chargedTokens);
    } else {
        noteNotDone(attempt, result.status);
    }
    m_answers.finish(attempt, std::move(end));
    noteDropped();
    pumpAll(attempt);
}

void AgentRuns::noteNotDone(const AttemptId &attempt, const absl::Status &status)
{
    kLog.info("run failed",
              {field("attempt", attempt.value()), field("cause", failureName(failureCode(status))),
               field("reason", std::string(status.message()))});
    if (outcomeOf(status) == RunOutcome::NotRun) {
        m_table.noteNotStarted(attempt);
        m_metrics.noteRefused(status);
    } else {
        m_table.noteFailed(attempt);
        m_metrics.noteFailed(status);
    }
}

void AgentRuns::pumpAll(const AttemptId &attempt)
{
    m_readers.pumpAll(attempt, [this](const AnswerReaders::ReaderPointer &reader) {
        pump(reader);
    });
}

void AgentRuns::pump(const AnswerReaders::ReaderPointer &reader)
{
    const BufferedAnswer *answer = m_answers.find(reader->attempt());
    const bool isEnded = answer != nullptr && answer->end.has_value();
    reader->pump(m_answers, isEnded ? m_monitor.load() : wire::Load(), [weak = weak_from_this(), reader] {
        if (const auto self = weak.lock()) {
            const std::lock_guard lock(self->m_mutex);
            reader->noteDrained();
            self->pumpAll(reader->attempt());
        }
    });
    if (reader->isFinished()) {
        m_answers.noteFetched(reader->attempt());
    }
}

wire::RunRecord AgentRuns::describe(const RunRecord &record) const
{
    wire::RunRecord message = runRecordToWire(record);
    message.set_endpoint(m_settings.endpoint);
    return message;
}

void AgentRuns::noteDropped()
{
    for (const AttemptId &attempt : m_answers.takeEvicted()) {
        m_table.noteAnswerGone(attempt);
    }
}

void AgentRuns::expire()
{
    const std::lock_guard lock(m_mutex);
    m_answers.expire();
    noteDropped();
    m_table.expire();
}

}
