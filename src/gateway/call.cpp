#include "call.h"

#include "asyncresult.h"
#include "base/failure.h"
#include "log.h"
#include "prepaidbudgets.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

const Log kLog("call");

/// Number of route priorities within each level of organisation priority.
constexpr int kRoutePriorities = 3;

/// A gateway that has just started reads its configuration within this time, if the store answers.
constexpr std::chrono::milliseconds kNotReadyRetryAfter{500};

std::int64_t reservationOf(const TokenBounds &tokens)
{
    return std::max<std::int64_t>(tokens.prompt + tokens.maximumOutput, 1);
}

}

Call::Call(CallServices &services, HttpExchange &exchange, ServingTablePointer table)
    : m_services(services)
    , m_exchange(exchange)
    , m_table(std::move(table))
    , m_startedAt(services.timers.now())
    , m_deadline(m_startedAt + services.times.defaultCallTimeout)
{
}

net::awaitable<void> Call::run()
{
    absl::Status status = prepare();
    if (status.ok()) {
        status = checkPoisonOnArrival();
    }
    if (status.ok()) {
        m_exchange.setPeerGoneCallback([this] {
            handleCallerDisconnected();
        });
        status = co_await findStreamOrigin();
    }
    if (status.ok()) {
        status = co_await reserve();
    }
    if (status.ok()) {
        status = co_await serve();
        settle();
    }
    if (!status.ok() && !m_isCallerDisconnected) {
        co_await refuse(status);
    }
    m_exchange.setPeerGoneCallback(nullptr);
    logEnd(status);
}

absl::Status Call::prepare()
{
    absl::StatusOr<CallRequest> request = m_services.protocol.readCall(m_exchange.request());
    if (!request.ok()) {
        return request.status();
    }
    m_request = std::move(*request);
    if (!m_table) {
        return makeFailure(FailureCode::NoEndpoint, "the gateway has not read its configuration yet",
                           kNotReadyRetryAfter);
    }
    m_route = m_table->findRoute(m_request.host, m_exchange.request().target);
    if (!m_route) {
        return makeFailure(FailureCode::UnknownRoute, "no route matches this host and path");
    }
    const absl::Status status = identifyOrganisation();
    if (!status.ok()) {
        return status;
    }
    m_pool = choosePool();
    if (!m_pool) {
        return makeFailure(FailureCode::NoEndpoint, "no usable pool for this route", kNotReadyRetryAfter);
    }
    Duration longest = m_route->timeout;
    if (m_request.callerTimeout) {
        longest = std::min(longest, *m_request.callerTimeout - m_services.times.networkAllowance);
    }
    m_deadline = m_startedAt + longest;
    if (m_route->isStreamed) {
        m_streamStartDeadline = streamPatienceEnd();
    }
    m_history.repetition = m_route->repetition;
    m_history.maximumAttempts = m_route->maximumAttempts;
    m_eventSplitter = EventSplitter(m_request.lastEvent);
    return absl::OkStatus();
}

absl::Status Call::identifyOrganisation()
{
    if (!m_request.apiKey.empty()) {
        m_organisation = m_table->organisationOfKey(m_request.apiKey);
    }
    const bool needsKey = !m_route->isPublic && !m_table->configuration().organisations.empty();
    if (m_organisation || !needsKey) {
        return absl::OkStatus();
    }
    return m_request.apiKey.empty() ? makeFailure(FailureCode::MissingKey, "this route requires an API key")
                                    : makeFailure(FailureCode::UnknownKey, "unknown API key");
}

const ServedPool *Call::choosePool()
{
    std::int64_t sum = 0;
    for (const WeightedPool &it : m_route->pools) {
        sum += std::max<std::int64_t>(it.weight, 0);
    }
    if (sum <= 0) {
        return nullptr;
    }
    auto drawn = static_cast<std::int64_t>(m_services.random.below(static_cast<std::uint64_t>(sum)));
    for (const WeightedPool &it : m_route->pools) {
        drawn -= std::max<std::int64_t>(it.weight, 0);
        if (drawn < 0) {
            return m_table->findPool(it.pool);
        }
    }
    return nullptr;
}

bool Call::continuesStream() const
{
    return m_route->isStreamed && (m_request.lastEvent || m_request.resumedCall);
}

// Only endpoints of the software that began the stream can continue it, and only the fleet's records tell which
// software that was. A call that can't be continued is refused before it costs anything.
net::awaitable<absl::Status> Call::findStreamOrigin()
{
    if (!continuesStream()) {
        co_return absl::OkStatus();
    }
    StreamOriginQuery query;
    query.call = m_request.resumedCall.value_or(RequestId());
    query.organisation = organisation();
    query.pools.push_back(m_pool->name);
    for (const WeightedPool &it : m_route->pools) {
        if (it.pool != m_pool->name) {
            query.pools.push_back(it.pool);
        }
    }
    const auto start = [this, &query](auto done) {
        m_services.streamOrigins.find(query, std::move(done));
    };
    using Found = absl::StatusOr<FoundStreamOrigin>;
    const Found found = co_await awaitCallback<Found>(start);
    m_services.metrics.noteOriginSought(found.ok() ? std::optional(found->evidence) : std::nullopt);
    co_return found.ok() ? continueAt(found->origin) : found.status();
}

OrganisationId Call::organisation() const
{
    return m_organisation ? m_organisation->name : OrganisationId();
}

// A route may be split among pools. The stream continues in the pool in which it began, unless the route has left it.
absl::Status Call::continueAt(const StreamOrigin &origin)
{
    const auto isOrigin = [&origin](const WeightedPool &it) {
        return it.pool == origin.pool;
    };
    const bool isOnRoute = std::ranges::any_of(m_route->pools, isOrigin);
    const ServedPool *pool = isOnRoute ? m_table->findPool(origin.pool) : nullptr;
    if (!pool) {
        return makeFailure(FailureCode::StreamVersionGone,
                           "the route has no longer the pool " + origin.pool.value() + ", in which the stream began");
    }
    m_pool = pool;
    m_streamOrigin = origin;
    return absl::OkStatus();
}

// The organisation's priority takes precedence; the route's priority orders calls of the same level.
int Call::priority() const
{
    if (m_organisation && m_organisation->priority) {
        return *m_organisation->priority * kRoutePriorities + std::min(m_route->priority, kRoutePriorities - 1);
    }
    return m_route->priority;
}

PlacementQuery Call::placementQuery() const
{
    PlacementQuery query;
    query.call = m_request.id;
    query.pool = m_pool->name;
    query.organisation = organisation();
    query.priority = priority();
    query.cost = m_request.tokens ? reservationOf(*m_request.tokens) : 1;
    query.parts = m_request.parts;
    const auto patience =
        std::chrono::duration<double, std::micro>(m_route->targetLatency) * m_services.times.queueLatencyFactor;
    query.deadline = std::min(m_deadline, m_startedAt + std::chrono::duration_cast<Duration>(patience));
    query.regions = AllowedRegions(m_route->allowedRegions,
                                   m_organisation ? m_organisation->allowedRegions : std::vector<std::string>());
    if (!m_route->isStreamed) {
        const auto late =
            std::chrono::duration<double, std::micro>(m_route->targetLatency) * m_services.times.lateAnswerShare;
        query.lateAfter = std::chrono::duration_cast<Duration>(late);
    }
    query.targetLatency = m_route->targetLatency;
    if (m_route->isStreamed) {
        query.targetGap = m_route->targetGap;
        query.expectedEvents = m_request.tokens ? m_pool->eventsOf(m_request.tokens->maximumOutput) : 0;
    }
    query.requiredVersion = m_streamOrigin ? std::optional(m_streamOrigin->version) : m_beginsOnlyAt;
    query.beginsStream =
        m_route->isStreamed && m_route->repetition == Repetition::ByResuming && !m_streamOrigin.has_value();
    query.excluded = m_tried;
    if (m_attempt.connection) {
        query.excluded.push_back(m_attempt.placement.endpoint);
    }
    return query;
}

net::awaitable<absl::Status> Call::reserve()
{
    if (!m_request.tokens || !m_organisation || !m_organisation->prepaidTokens) {
        co_return absl::OkStatus();
    }
    const std::int64_t tokens = reservationOf(*m_request.tokens);
    const Instant deadline = std::min(m_deadline, m_startedAt + m_route->targetLatency);
    const auto start = [this, tokens, deadline](auto done) {
        ReservationRequest request{m_request.id, PrepaidBudgets::budgetOf(m_organisation->name), tokens, deadline};
        request.isUrgent = m_route->priority <= m_table->mostUrgentPriority();
        request.allowance = Allowance{m_table->configuration().version, *m_organisation->prepaidTokens};
        m_services.budgets.reserve(request, std::move(done));
    };
    const absl::Status status = co_await awaitCallback<absl::Status>(start);
    m_reservationTime = m_services.timers.now() - m_startedAt;
    m_services.metrics.noteReserved(m_reservationTime);
    m_isReserved = status.ok();
    co_return status;
}

net::awaitable<absl::Status> Call::serve()
{
    while (!m_isCallerDisconnected) {
        const absl::Status placed = co_await startNextAttempt();
        if (!placed.ok()) {
            co_return placed;
        }
        const AttemptResult end = co_await relay();
        finish(m_attempt, end);
        if (!end) {
            co_return absl::OkStatus();
        }
        if (m_isCallerDisconnected) {
            break;
        }
        m_furtherAttempt = m_successor ? FurtherAttempt::Granted : checkFurtherAttempt(*end);
        if (m_furtherAttempt != FurtherAttempt::Granted) {
            co_return failureAfterAttempts(m_history, *end, m_services.gate.untilBackoffEnds(placementQuery()));
        }
    }
    if (m_successor) {
        finish(*m_successor, AttemptEnd::Broken);
    }
    co_return makeFailure(FailureCode::ConnectionLost, "the caller is gone");
}

// On success m_attempt is a new attempt, which was either sent or could not be sent.
net::awaitable<absl::Status> Call::startNextAttempt()
{
    m_furtherAttempt.reset();
    if (m_successor) {
        m_attempt = *std::exchange(m_successor, std::nullopt);
        co_return absl::OkStatus();
    }
    const absl::StatusOr<Placement> placement = co_await place();
    if (!placement.ok()) {
        returnRetry();
        m_furtherAttempt = m_history.sent > 0 ? std::optional(FurtherAttempt::NoEndpoint) : std::nullopt;
        co_return m_history.mayHaveRun ? failureAfterAttempts(m_history, AttemptEnd::Broken) : placement.status();
    }
    m_attempt = Attempt();
    m_attempt.placement = *placement;
    co_await start(m_attempt);
    co_return absl::OkStatus();
}

// While the holders of a stream can't be reached, it may still begin at the established version.
net::awaitable<absl::StatusOr<Placement>> Call::place()
{
    absl::StatusOr<Placement> placement = co_await placeOnce();
    if (!placement.ok() || !mustRegisterStream(*placement)) {
        co_return placement;
    }
    const absl::Status registered = co_await registerStream();
    if (registered.ok()) {
        m_isStreamRegistered = true;
        co_return placement;
    }
    m_services.gate.noteEnded(placement->id, RunEnd::Cancelled);
    if (m_isCallerDisconnected) {
        co_return registered;
    }
    m_beginsOnlyAt = m_services.gate.registry().versions().established(m_pool->name);
    logNotRegistered(*placement, registered);
    placement = co_await placeOnce();
    const bool isNowhere = failureCode(placement.status()) == FailureCode::StreamVersionGone;
    co_return isNowhere ? registered : placement;
}

void Call::logNotRegistered(const Placement &placement, const absl::Status &status) const
{
    if (m_services.failureSampler.shouldLog(m_request.id, m_services.timers.now())) {
        kLog.info("stream may begin at the established version only",
                  {field("call", m_request.id.value()), field("pool", m_pool->name.value()),
                   field("established_version", m_beginsOnlyAt.value_or(SoftwareVersion()).value()),
                   field("software_version", placement.softwareVersion.value()),
                   field("reason", std::string(status.message()))});
    }
}

bool Call::mustRegisterStream(const Placement &placement) const
{
    const bool mayBegin = m_route->isStreamed && m_route->repetition == Repetition::ByResuming && !m_streamOrigin;
    return mayBegin && !m_isStreamRegistered
        && m_services.streamOrigins.mustRegister(m_pool->name, placement.softwareVersion);
}

net::awaitable<absl::Status> Call::registerStream()
{
    const auto start = [this](auto done) {
        m_services.streamOrigins.registerStream(m_request.id, organisation(), m_pool->name, std::move(done));
    };
    co_return co_await awaitCallback<absl::Status>(start);
}

// Checks for poison before and after the wait: while a call waits in the queue, its request may become barred.
net::awaitable<absl::StatusOr<Placement>> Call::placeOnce()
{
    absl::Status poison = checkPoison();
    if (!poison.ok()) {
        co_return poison;
    }
    const auto start = [this](auto done) {
        m_services.gate.place(placementQuery(), std::move(done));
    };
    const Instant askedAt = m_services.timers.now();
    absl::StatusOr<Placement> placement = co_await awaitCallback<absl::StatusOr<Placement>>(start);
    m_queueWait += m_services.timers.now() - askedAt;
    m_services.metrics.notePlaced(m_services.timers.now() - askedAt);
    poison = checkPoison();
    if (placement.ok() && !poison.ok()) {
        m_services.gate.noteEnded(placement->id, RunEnd::Cancelled);
        co_return poison;
    }
    co_return placement;
}

FurtherAttempt Call::checkFurtherAttempt(AttemptEnd end)
{
    if (timeLeft() <= Duration::zero()) {
        return FurtherAttempt::DeadlineReached;
    }
    const FurtherAttempt verdict = furtherAttempt(m_history, end);
    if (verdict != FurtherAttempt::Granted) {
        return verdict;
    }
    return grantRetry(end) ? FurtherAttempt::Granted : FurtherAttempt::RetryBudgetSpent;
}

bool Call::grantRetry(AttemptEnd end)
{
    if (!isRetry(end)) {
        return true;
    }
    RetryQuery query;
    query.attempts = m_history.sent;
    query.isIdempotent = m_route->repetition != Repetition::Never;
    query.isProvedNotStarted = !m_history.mayHaveRun;
    query.deadline = m_deadline;
    m_hasRetry = m_services.retryBudget(m_pool->name).retry(query, m_services.timers.now()).ok();
    return m_hasRetry;
}

// Returns a granted retry that found no endpoint. Otherwise such retries would use up the budget while endpoints are
// full, which is when it is needed most.
void Call::returnRetry()
{
    if (std::exchange(m_hasRetry, false)) {
        m_services.retryBudget(m_pool->name).giveBack();
    }
}

void Call::settle()
{
    if (m_isReserved) {
        m_services.budgets.settle(m_request.id, usedTokens());
    }
}

std::int64_t Call::usedTokens() const
{
    if (!m_history.mayHaveRun) {
        return 0;
    }
    const TokenBounds &tokens = *m_request.tokens;
    std::int64_t output = m_eventSplitter.count() * m_pool->tokensPerEvent;
    if (!m_route->isStreamed && m_isAnswered) {
        output = tokens.maximumOutput;
    }
    return tokens.prompt + std::min(output, tokens.maximumOutput);
}

net::awaitable<void> Call::refuse(const absl::Status &status)
{
    if (m_hasStreamStarted) {
        m_services.metrics.noteCutOff(status);
        m_exchange.abort();
        co_return;
    }
    HttpResponse response = m_services.protocol.failure(status);
    m_answeredStatus = response.status;
    noteDelivery(co_await m_exchange.respond(std::move(response)));
}

// The endpoint has run the call, which is billed even if the answer does not reach the caller. The log line allows
// operators to answer questions about it.
void Call::noteDelivery(const absl::Status &status) const
{
    if (!status.ok()) {
        kLog.info("answer could not be delivered to the caller",
                  {field("call", m_request.id.value()), field("status", m_answeredStatus),
                   field("error", std::string(status.message()))});
    }
}

// Closes the connections to endpoints, since a run whose caller has disconnected takes capacity from other calls. An
// unstreamed call that was sent and must not be repeated runs to its end, because its caller may still need to know
// whether it has run.
void Call::handleCallerDisconnected()
{
    m_isCallerDisconnected = true;
    abandonAttempt(m_attempt);
    if (m_successor) {
        abandonAttempt(*m_successor);
    }
    m_services.gate.cancel(m_request.id, m_pool->name);
}

void Call::abandonAttempt(const Attempt &attempt)
{
    const ConnectionPointer &connection = attempt.connection;
    if (connection && (mayRunAgain() || m_route->isStreamed || !connection->mayHaveSent())) {
        connection->close();
    }
}

Instant Call::streamPatienceEnd() const
{
    const CallTimes &times = m_services.times;
    const auto byTarget =
        std::chrono::duration<double, std::micro>(m_route->targetLatency) * times.streamPatienceLatencyFactor;
    const auto byGap = std::chrono::duration<double, std::micro>(m_route->targetGap) * times.streamPatienceGapFactor;
    const auto longest = std::chrono::duration_cast<Duration>(std::max(byTarget, byGap));
    return m_startedAt + std::max(times.minimumStreamPatience, longest) - times.streamPatienceMargin;
}

Duration Call::timeLeft() const
{
    const Instant end = m_hasStreamStarted ? m_deadline : std::min(m_deadline, m_streamStartDeadline);
    return end - m_services.timers.now();
}

Duration Call::remainingWait() const
{
    constexpr Duration kShortestWait = std::chrono::milliseconds(1);
    return std::max(timeLeft(), kShortestWait);
}

Duration Call::limitToTimeLeft(Duration span) const
{
    return std::min(span, remainingWait());
}

bool Call::isSuccess(int status)
{
    return status >= 200 && status < 300;
}

bool Call::isServerError(int status)
{
    return status >= 500;
}

bool Call::mayRunAgain() const
{
    return m_route->repetition != Repetition::Never;
}

const RequestFingerprint &Call::fingerprint() const
{
    if (!m_fingerprint) {
        const HttpRequest &request = m_exchange.request();
        const std::string &caller = m_organisation ? m_organisation->name.value() : m_request.apiKey;
        m_fingerprint = RequestFingerprint::of(request.method, request.target, caller, request.body);
    }
    return *m_fingerprint;
}

SharedPrompt Call::sharedPrompt() const
{
    SharedPrompt prompt;
    prompt.pool = m_pool ? m_pool->name : PoolId();
    prompt.organisation = m_organisation ? m_organisation->name : OrganisationId();
    for (const PromptPart &part : m_request.parts) {
        prompt.parts.push_back(part.id);
    }
    if (!prompt.parts.empty()) {
        prompt.parts.pop_back();
    }
    return prompt;
}

absl::Status Call::checkPoison() const
{
    const bool isToBeChecked = m_services.poison.hasSuspects() && !m_isPoisonTrial;
    return isToBeChecked ? m_services.poison.check(fingerprint(), sharedPrompt()) : absl::OkStatus();
}

// A trial makes no further attempts, each of which might crash another endpoint.
absl::Status Call::checkPoisonOnArrival()
{
    const absl::Status status = checkPoison();
    if (status.ok() || !m_services.poison.takeTrial(sharedPrompt())) {
        return status;
    }
    m_isPoisonTrial = true;
    m_history.maximumAttempts = 1;
    return absl::OkStatus();
}

void Call::logEnd(const absl::Status &status) const
{
    const Duration taken = m_services.timers.now() - m_startedAt;
    m_services.metrics.noteEnded(status, taken);
    LogSampler &sampler = status.ok() ? m_services.sampler : m_services.failureSampler;
    if (!sampler.shouldLog(m_request.id, m_services.timers.now())) {
        return;
    }
    const std::string route = m_route ? m_route->name : std::string();
    const std::string organisation = m_organisation ? m_organisation->name.value() : std::string();
    const std::string content = status.ok() || !m_route ? std::string() : fingerprint().toString();
    const std::string_view outcome = status.ok() ? std::string_view("answered") : failureName(failureCode(status));
    kLog.write(status.ok() ? LogLevel::Info : LogLevel::Warning, status.ok() ? "call ended" : "call failed",
               {field("call", m_request.id.value()),
                field("outcome", outcome),
                field("status", m_answeredStatus),
                field("route", route),
                field("organisation", organisation),
                field("attempts", m_history.sent),
                field("endpoint", m_attempt.placement.endpoint.value()),
                field("software_version", m_attempt.placement.softwareVersion.value()),
                field("resumes", m_request.resumedCall.value_or(RequestId()).value()),
                field("pool", m_pool ? m_pool->name.value() : std::string()),
                field("framing", framingName(m_attempt)),
                field("events", m_eventSplitter.count()),
                field("last_event", m_eventSplitter.lastEvent().value_or(0)),
                field("tokens", m_isReserved ? usedTokens() : 0),
                field("reserved_after", m_reservationTime),
                field("waited", m_queueWait),
                field("first_answer", m_firstAnswerTime.value_or(Duration::zero())),
                field("taken", taken),
                field("further_attempt", m_furtherAttempt ? furtherAttemptName(*m_furtherAttempt) : std::string_view()),
                field("time_left", timeLeft()),
                field("version", m_table ? m_table->configuration().version : 0),
                field("content", content),
                field("parts", status.ok() ? std::string() : partIdsText(sharedPrompt().parts)),
                field("reason", std::string(status.message()))});
}

}
