#include "requestsession.h"

#include "apierror.h"
#include "asyncresult.h"
#include "base/failure.h"
#include "plainrelay.h"
#include "wireconversion.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace RadishSwitch
{

namespace
{

constexpr std::chrono::milliseconds kComeBackSoon(1000);
/// How long a second copy of a request looks for the run of the first.
constexpr Duration kDuplicatePatience = std::chrono::seconds(5);
constexpr Duration kDuplicatePause = std::chrono::milliseconds(20);
// The home last heard of, the owner that it names, and this process itself.
constexpr int kMostAdmissions = 3;

// The home asked is not the one, is not there, or is leaving: another may decide.
bool isForAnotherHome(FailureCode code)
{
    return code == FailureCode::HomeElsewhere || code == FailureCode::HomeUnreachable || code == FailureCode::Draining;
}

bool isOfConnection(FailureCode code)
{
    return code == FailureCode::ConnectionLost || code == FailureCode::ConnectionSilent;
}

Settlement notRun()
{
    Settlement settlement;
    settlement.isNotRun = true;
    return settlement;
}

}

RequestSession::RequestSession(SessionServices services, HttpExchange &exchange, RunPlan plan)
    : m_services(services)
    , m_exchange(exchange)
    , m_plan(std::move(plan))
    , m_deadline(services.timers.now() + std::chrono::milliseconds(m_plan.deadlineMilliseconds))
{
    if (m_plan.chat) {
        auto relay = std::make_unique<ChatStreamRelay>(exchange, m_plan.request.value(), m_plan.isStreamed,
                                                       m_plan.chat->wantsUsage());
        m_stream = relay.get();
        m_relay = std::move(relay);
    } else {
        m_relay = std::make_unique<PlainRelay>(exchange, m_plan.request.value());
    }
}

boost::asio::awaitable<absl::Status> RequestSession::run()
{
    m_services.journal.begin(m_plan.request, m_plan.budget, m_plan.pool);
    const absl::Status status = co_await serve();
    m_services.journal.end(m_plan.request, status.ok() ? "ok" : std::string(failureName(failureCode(status))));
    if (!status.ok()) {
        note("refused: " + std::string(status.message()));
        co_await m_relay->fail(status);
    }
    co_return status;
}

boost::asio::awaitable<absl::Status> RequestSession::serve()
{
    if (const absl::Status status = co_await enterQueue(); !status.ok()) {
        co_return status;
    }
    Instant patience = m_deadline;
    AttemptId followed;
    while (true) {
        absl::StatusOr<AdmitDecision> decision = co_await admit();
        if (!decision.ok()) {
            co_return decision.status();
        }
        if (std::holds_alternative<Grant>(*decision)) {
            co_return co_await runAttempts(std::move(std::get<Grant>(*decision)));
        }
        const DuplicateRun duplicate = std::get<DuplicateRun>(*decision);
        const AttemptEnd end = co_await followDuplicate(duplicate);
        // A run that was followed for long may have moved on just now; where it is is looked for as at the first time.
        if (std::exchange(followed, duplicate.attempt) != duplicate.attempt) {
            patience = std::min(m_deadline, m_services.timers.now() + kDuplicatePatience);
        }
        if (end == AttemptEnd::Answered) {
            co_return co_await m_relay->finish();
        }
        // A part that was delivered from one attempt's answer can't be gone on with from another's: their bytes differ.
        if (end == AttemptEnd::GivenUp || m_services.timers.now() >= patience || !m_relay->restart()) {
            m_mayHaveRun = true;
            co_return endOfFailedRun();
        }
        co_await awaitPause(m_services.timers, kDuplicatePause);
    }
}

boost::asio::awaitable<absl::Status> RequestSession::enterQueue()
{
    absl::StatusOr<GatePass> pass = co_await awaitCallback<absl::StatusOr<GatePass>>([this](auto done) {
        m_services.gate.enter(m_plan, m_deadline, std::move(done));
    });
    if (!pass.ok()) {
        co_return m_plan.isKeyed ? withUnknownOutcome(pass.status()) : pass.status();
    }
    m_pass = std::move(*pass);
    co_return absl::OkStatus();
}

boost::asio::awaitable<absl::StatusOr<AdmitDecision>> RequestSession::admit()
{
    AdmissionQuery question;
    question.request = m_plan.request;
    question.budget = m_plan.budget;
    question.worstCaseTokens = m_plan.worstCaseTokens;
    question.fingerprint = m_plan.fingerprint;
    question.isKeyed = m_plan.isKeyed;
    question.isNonIdempotent = m_plan.isNonIdempotent;
    question.deadline = m_deadline;
    question.pool = m_plan.pool;
    absl::StatusOr<AdmitDecision> decision = makeFailure(FailureCode::HomeUnreachable, "not asked yet");
    for (int n = 0; n < kMostAdmissions; ++n) {
        m_home = m_services.homes.open(m_plan, n);
        decision = co_await awaitCallback<absl::StatusOr<AdmitDecision>>([this, &question](auto done) {
            m_home->admit(question, std::move(done));
        });
        if (decision.ok() || !isForAnotherHome(failureCode(decision.status()))) {
            break;
        }
    }
    co_return decision;
}

boost::asio::awaitable<absl::Status> RequestSession::runAttempts(Grant grant)
{
    note("granted " + std::to_string(grant.reservedTokens) + " tokens");
    m_grantedAttempt = grant.attempt;
    m_portionConfirmedAt = grant.portionConfirmedAt;
    m_isDuplicate = false;
    while (true) {
        const absl::StatusOr<RouteChoice> choice = nextEndpoint();
        if (!choice.ok()) {
            m_lastFailure = m_attempts == 0 ? choice.status() : m_lastFailure;
            break;
        }
        ++m_attempts;
        const AttemptEnd end = co_await runAttempt(grant, *choice);
        if (end == AttemptEnd::Answered) {
            Settlement settlement;
            settlement.chargedTokens = m_charged;
            settlement.isNotRun = m_hasJoinedOther;
            co_await settle(settlement);
            m_pass.release(m_charged);
            note("billed " + std::to_string(m_charged) + " tokens");
            co_return co_await m_relay->finish();
        }
        const bool isNotRun = end == AttemptEnd::NotStarted || end == AttemptEnd::NotSent;
        m_mayHaveRun = m_mayHaveRun || !isNotRun;
        m_excluded.push_back(choice->endpoint);
        if (m_next) {
            co_await awaitPause(m_services.timers, m_next->backoff);
            continue;
        }
        if (end == AttemptEnd::GivenUp || end == AttemptEnd::NotSent) {
            break;
        }
        const bool isGranted = co_await waitToRetry(end == AttemptEnd::NotStarted);
        if (!isGranted) {
            break;
        }
    }
    if (!m_mayHaveRun) {
        const Settlement settlement = notRun();
        co_await settle(settlement);
    }
    co_return endOfFailedRun();
}

absl::StatusOr<RouteChoice> RequestSession::nextEndpoint()
{
    if (m_next) {
        return m_next->choice;
    }
    absl::StatusOr<RouteChoice> choice =
        m_services.gate.choose(m_plan, m_excluded, m_portionConfirmedAt, requiredVersion());
    // A part that the caller has not seen can be made anew by other software.
    if (!choice.ok() && requiredVersion() && m_relay->restart()) {
        choice = m_services.gate.choose(m_plan, m_excluded, m_portionConfirmedAt);
    }
    return choice;
}

// What different versions of an engine's software write does not fit together.
std::optional<SoftwareVersion> RequestSession::requiredVersion() const
{
    const bool hasBegun = m_stream != nullptr && m_stream->hasDelivered();
    return hasBegun ? std::optional(m_answerVersion) : std::nullopt;
}

// A non-idempotent request that may have started is not sent again: the first copy could still take effect, and the
// caller would get two blinds for one window. Everything else may be tried elsewhere while there is time, within the
// retry budget.
absl::StatusOr<Duration> RequestSession::askForRetry(bool isProvedNotStarted)
{
    RetryQuery query;
    query.attempts = m_attempts;
    query.isIdempotent = !m_plan.isNonIdempotent;
    query.isProvedNotStarted = isProvedNotStarted && !m_mayHaveRun;
    query.deadline = m_deadline;
    absl::StatusOr<Duration> backoff = m_services.gate.retry(query);
    if (!backoff.ok()) {
        note("not tried again: " + std::string(backoff.status().message()));
    }
    return backoff;
}

boost::asio::awaitable<bool> RequestSession::waitToRetry(bool isProvedNotStarted)
{
    const absl::StatusOr<Duration> backoff = askForRetry(isProvedNotStarted);
    if (!backoff.ok()) {
        co_return false;
    }
    co_await awaitPause(m_services.timers, *backoff);
    co_return true;
}

boost::asio::awaitable<RequestSession::AttemptEnd> RequestSession::runAttempt(const Grant &grant,
                                                                              const RouteChoice &choice)
{
    if (!co_await beginAttempt(choice)) {
        co_return AttemptEnd::NotSent;
    }
    m_pass.noteDispatched();
    m_services.gate.noteDispatched(choice, m_plan);
    m_dispatchedAt = m_services.timers.now();
    const auto executor = co_await boost::asio::this_coro::executor;
    RunStream stream(m_services.clients, AgentLife::parse(choice.address), executor, m_plan.request, m_attempt);
    if (m_stream != nullptr) {
        m_stream->beginContinuation();
        stream.setOffset(m_stream->deliveredBytes().size());
    }
    stream.start(runRequest(grant, choice));
    const AttemptEnd end = co_await follow(stream, choice);
    m_services.gate.noteFinished(choice, m_plan, end == AttemptEnd::Answered ? RunEnd::Ok : RunEnd::Failed);
    co_return end;
}

// The home learns of an attempt before the agent does, so that it can find the run after this process has died. It
// knows the first attempt from its grant, and need not be waited for then.
boost::asio::awaitable<bool> RequestSession::beginAttempt(const RouteChoice &choice)
{
    if (const std::optional<NextAttempt> next = std::exchange(m_next, std::nullopt)) {
        m_attempt = next->attempt;
        note("sent to " + choice.endpoint.value() + " as attempt " + m_attempt.value());
        co_return true;
    }
    const bool isFirst = m_attempts == 1;
    m_attempt = isFirst ? m_grantedAttempt : AttemptId(m_services.random.freshName());
    note("sent to " + choice.endpoint.value() + " as attempt " + m_attempt.value());
    if (isFirst) {
        m_home->noteDispatched(m_attempt, choice.address, [](absl::Status) {});
        co_return true;
    }
    const absl::Status status = co_await announce(m_attempt, choice);
    if (!status.ok()) {
        m_lastFailure = status;
    }
    co_return status.ok();
}

boost::asio::awaitable<absl::Status> RequestSession::announce(const AttemptId &attempt, const RouteChoice &choice)
{
    const auto start = [this, &attempt, &choice](auto done) {
        m_home->noteDispatched(attempt, choice.address, std::move(done));
    };
    co_return co_await awaitCallback<absl::Status>(start);
}

// A run that is left is lost, also where its endpoint was at work. So everything that the next attempt needs is had
// before that: an endpoint, a retry of the budget, and the home's word.
boost::asio::awaitable<bool> RequestSession::placeNext(const RouteChoice &current)
{
    std::vector<EndpointId> excluded = m_excluded;
    excluded.push_back(current.endpoint);
    const absl::StatusOr<RouteChoice> choice =
        m_services.gate.choose(m_plan, excluded, m_portionConfirmedAt, requiredVersion());
    if (!choice.ok()) {
        co_return false;
    }
    const absl::StatusOr<Duration> backoff = askForRetry(false);
    if (!backoff.ok()) {
        co_return false;
    }
    const AttemptId attempt(m_services.random.freshName());
    const absl::Status status = co_await announce(attempt, *choice);
    if (!status.ok()) {
        note("not tried elsewhere: " + std::string(status.message()));
        co_return false;
    }
    m_next = NextAttempt{*choice, attempt, *backoff};
    co_return true;
}

// The attempt that was announced is not made after all. The home names the last one it was told of to copies of the
// request, so it is told of the current one again.
void RequestSession::takeNextBack(const RouteChoice &current)
{
    if (std::exchange(m_next, std::nullopt)) {
        m_home->noteDispatched(m_attempt, current.address, [](absl::Status) {});
    }
}

// The endpoint is silent and its agent is there. The run goes on unless the next attempt has its place and the agent
// has stopped this one; a run of another request's attempt is that one's to leave.
boost::asio::awaitable<std::optional<RequestSession::AttemptEnd>> RequestSession::leaveSilent(const RouteChoice &choice)
{
    if (m_isDuplicate || m_hasJoinedOther || m_plan.isNonIdempotent) {
        co_return std::nullopt;
    }
    const bool isPlaced = co_await placeNext(choice);
    if (!isPlaced) {
        co_return std::nullopt;
    }
    const absl::StatusOr<RunRecord> record = co_await barAttempt(choice, true);
    if (!record.ok() || (record->state != RunState::Failed && record->state != RunState::Barred)) {
        takeNextBack(choice);
        co_return std::nullopt;
    }
    note("left, since its endpoint was silent");
    m_lastFailure = withUnknownOutcome(makeFailure(FailureCode::ConnectionSilent, "the endpoint was silent"));
    co_return AttemptEnd::Left;
}

// The agent cannot be reached, and its run may go on. It is stopped and left when the next attempt has its place. Else
// there is this run or none, and it is come back for until the agent is known to be gone.
boost::asio::awaitable<std::optional<RequestSession::AttemptEnd>>
RequestSession::leaveUnreachable(const RouteChoice &choice)
{
    bool isPlaced = false;
    if (!m_plan.isNonIdempotent) {
        isPlaced = co_await placeNext(choice);
    }
    const absl::StatusOr<RunRecord> record = co_await barAttempt(choice, isPlaced);
    if (record.ok() && record->state == RunState::Barred) {
        co_return AttemptEnd::NotStarted;
    }
    if (record.ok() && record->state == RunState::Done) {
        takeNextBack(choice);
        co_return std::nullopt;
    }
    if (isPlaced) {
        co_return AttemptEnd::Left;
    }
    if (!record.ok() && m_services.agents.isGone(choice.address)) {
        co_return AttemptEnd::Failed;
    }
    co_return std::nullopt;
}

boost::asio::awaitable<RequestSession::AttemptEnd> RequestSession::follow(RunStream &stream, const RouteChoice &choice)
{
    while (true) {
        absl::StatusOr<wire::RunUpdate> update = co_await stream.next(m_deadline, m_services.timers);
        if (!update.ok()) {
            m_lastFailure = update.status();
            if (failureCode(update.status()) == FailureCode::DeadlineExceeded) {
                co_return AttemptEnd::GivenUp;
            }
            if (m_isDuplicate) {
                co_return AttemptEnd::Failed;
            }
            if (!isOfConnection(failureCode(update.status()))) {
                co_return co_await makeSureNotRunning(choice);
            }
            if (const std::optional<AttemptEnd> end = co_await leaveUnreachable(choice)) {
                co_return *end;
            }
            continue;
        }
        if (m_dispatchedAt && (update->has_chunk() || update->has_done())) {
            m_services.gate.noteFirstToken(choice, m_services.timers.now() - *m_dispatchedAt);
            m_dispatchedAt.reset();
        }
        switch (update->update_case()) {
        case wire::RunUpdate::kRefused:
            m_lastFailure = failureFromWire(update->refused());
            if (failureCode(m_lastFailure) == FailureCode::RunUnknown && !m_isDuplicate) {
                co_return co_await makeSureNotRunning(choice);
            }
            co_return outcomeOf(m_lastFailure) == RunOutcome::NotRun ? AttemptEnd::NotStarted : AttemptEnd::Failed;
        case wire::RunUpdate::kHead:
            m_relay->setHead(update->head().status(), update->head().content_type());
            break;
        case wire::RunUpdate::kChunk: {
            if (!requiredVersion()) {
                m_answerVersion = choice.softwareVersion;
            }
            const AttemptEnd end = co_await relayChunks(stream, std::move(*update));
            if (end != AttemptEnd::Answered) {
                co_return end;
            }
            break;
        }
        case wire::RunUpdate::kDone:
            m_charged = update->done().charged_tokens();
            m_services.gate.noteLoad(choice, update->done().load());
            co_return AttemptEnd::Answered;
        case wire::RunUpdate::kFailed:
            m_lastFailure = failureFromWire(update->failed());
            co_return AttemptEnd::Failed;
        case wire::RunUpdate::kAccepted:
            // The agent has joined this attempt to the run of another, which bears the charge.
            m_hasJoinedOther = update->accepted().attempt_id() != m_attempt.value();
            if (m_stream != nullptr) {
                m_stream->setPriorTokens(update->accepted().prior_completion_tokens());
            }
            break;
        case wire::RunUpdate::kSilent:
            if (const std::optional<AttemptEnd> end = co_await leaveSilent(choice)) {
                co_return *end;
            }
            break;
        case wire::RunUpdate::UPDATE_NOT_SET:
            break;
        }
    }
}

// Bytes that are there already go out in one write.
boost::asio::awaitable<RequestSession::AttemptEnd> RequestSession::relayChunks(RunStream &stream, wire::RunUpdate first)
{
    const absl::Status status = co_await m_relay->append(std::move(*first.mutable_chunk()->mutable_data()));
    (void)stream;
    if (status.ok()) {
        co_return AttemptEnd::Answered;
    }
    m_lastFailure = status;
    const bool isCallerGone = failureCode(status) == FailureCode::ConnectionLost;
    co_return isCallerGone ? AttemptEnd::GivenUp : AttemptEnd::Failed;
}

// The agent does not answer, or knows nothing of the run. Only its own word that the attempt is barred makes "not run"
// true: the message may still be under way, and would start the run after the caller was told that nothing ran.
boost::asio::awaitable<RequestSession::AttemptEnd> RequestSession::makeSureNotRunning(const RouteChoice &choice)
{
    const absl::StatusOr<RunRecord> record = co_await barAttempt(choice, !m_plan.isNonIdempotent);
    const bool isBarred = record.ok() && record->state == RunState::Barred;
    co_return isBarred ? AttemptEnd::NotStarted : AttemptEnd::Failed;
}

boost::asio::awaitable<absl::StatusOr<RunRecord>> RequestSession::barAttempt(const RouteChoice &choice, bool cancels)
{
    const auto start = [this, &choice, cancels](auto done) {
        const RunStop stop = cancels ? RunStop::Always : RunStop::Never;
        m_services.agents.bar(choice.address, m_plan.request, m_attempt, stop, std::move(done));
    };
    absl::StatusOr<RunRecord> record = co_await awaitCallback<absl::StatusOr<RunRecord>>(start);
    const bool isBarred = record.ok() && record->state == RunState::Barred;
    note(isBarred ? "barred at the agent" : "the agent could not prove that it did not run");
    co_return record;
}

// The run of an earlier copy need not have reached its agent yet, or has moved on to another one: then the home is
// asked again where it is. This copy never bars it.
boost::asio::awaitable<RequestSession::AttemptEnd> RequestSession::followDuplicate(const DuplicateRun &duplicate)
{
    note("joined the run of an earlier copy at " + duplicate.agentAddress);
    m_isDuplicate = true;
    m_pass.release();
    m_attempt = duplicate.attempt;
    const auto executor = co_await boost::asio::this_coro::executor;
    RunStream stream(m_services.clients, AgentLife::parse(duplicate.agentAddress), executor, m_plan.request, m_attempt);
    stream.attach(true);
    // Named, and not written inside the co_await: g++ 12 destroys a temporary aggregate of a co_await expression twice.
    const RouteChoice choice{EndpointId(), duplicate.agentAddress};
    co_return co_await follow(stream, choice);
}

boost::asio::awaitable<void> RequestSession::settle(Settlement settlement)
{
    settlement.grantedAttempt = m_grantedAttempt;
    const absl::Status status = co_await awaitCallback<absl::Status>([this, &settlement](auto done) {
        m_home->settle(settlement, std::move(done));
    });
    if (!status.ok()) {
        note("the home did not confirm the settlement: " + std::string(status.message()));
    }
}

// "Not run" is told of the request, not of this try. An earlier try with the same key may have run and failed before
// the home let this one run again; a caller who then read "not run" was told something untrue. A call that may run once
// only is granted once only, so there this try is all there was.
bool RequestSession::isProvedByThisTry() const
{
    return !m_plan.isKeyed || m_plan.isNonIdempotent;
}

absl::Status RequestSession::endOfFailedRun()
{
    const FailureCode code = m_lastFailure.ok() ? FailureCode::EndpointFailed : failureCode(m_lastFailure);
    const std::string message = m_lastFailure.ok() ? "the run failed" : std::string(m_lastFailure.message());
    if (!m_mayHaveRun) {
        const absl::Status status = makeFailure(code, message, retryAfterOf(m_lastFailure).value_or(kComeBackSoon));
        return isProvedByThisTry() ? status : withUnknownOutcome(status);
    }
    if (m_plan.isNonIdempotent) {
        return withUnknownOutcome(makeFailure(FailureCode::OutcomeUnknown, message));
    }
    return withUnknownOutcome(makeFailure(code, message, kComeBackSoon));
}

wire::RunRequest RequestSession::runRequest(const Grant &grant, const RouteChoice &choice) const
{
    wire::RunRequest run;
    run.set_request_id(m_plan.request.value());
    run.set_attempt_id(m_attempt.value());
    run.set_organisation(m_plan.budget.organisation.value());
    run.set_budget(m_plan.budget.name);
    run.set_portion_id(grant.portion.value());
    run.set_shard(grant.shard);
    run.set_epoch(grant.epoch);
    run.set_provisional(grant.isProvisional);
    run.set_reserved_tokens(grant.reservedTokens);
    run.set_fingerprint(m_plan.fingerprint);
    run.set_method(m_plan.method);
    run.set_target(m_plan.target);
    run.set_content_type(m_plan.contentType);
    run.set_chat(m_plan.chat.has_value());
    run.set_stream(m_plan.chat.has_value());
    run.set_non_idempotent(m_plan.isNonIdempotent);
    run.set_priority(m_plan.priority);
    run.set_prompt_tokens_bound(m_plan.promptTokens);
    run.set_pool(m_plan.pool.value());
    run.set_agent_incarnation(AgentLife::parse(choice.address).incarnation.value());
    const Duration left = std::max(m_deadline - m_services.timers.now(), Duration::zero());
    run.set_deadline_ms(std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    if (m_stream != nullptr && m_stream->hasDelivered()) {
        const std::int64_t n = m_stream->deliveredTokens();
        run.set_prior_completion_tokens(n);
        run.set_prior_answer(m_stream->deliveredBytes());
        run.set_body(m_plan.chat->continuationBody(m_stream->deliveredText(), n));
    } else {
        run.set_body(m_plan.body);
    }
    return run;
}

void RequestSession::note(std::string text)
{
    m_services.journal.note(m_plan.request, std::move(text));
}

}
