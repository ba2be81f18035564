#include "platformserver.h"

#include "asyncresult.h"
#include "base/failure.h"
#include "httperror.h"
#include "log.h"
#include "platformanswers.h"
#include "urlcoding.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

const Log kLog("platform");

constexpr char kControl[] = "/standin/";
constexpr Duration kWatchTimeout = std::chrono::seconds(10);
constexpr Duration kSilence = std::chrono::hours(24);
constexpr std::chrono::milliseconds kLimitRetryAfter{200};

Instant now()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Waits for `span`, or less when the timer is cancelled.
net::awaitable<void> waitFor(net::steady_timer &timer, Duration span)
{
    boost::system::error_code ec;
    timer.expires_after(span);
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
}

net::awaitable<void> pauseFor(Duration span)
{
    if (span > Duration::zero()) {
        net::steady_timer timer(co_await net::this_coro::executor);
        co_await waitFor(timer, span);
    }
}

}

PlatformServer::PlatformServer(WorkerPool &workers, PlatformSettings settings)
    : m_workers(workers)
    , m_settings(std::move(settings))
    , m_listTimer(workers.context())
    , m_faults(m_settings.faults)
    , m_random(m_settings.seed)
{
}

PlatformServer::~PlatformServer() = default;

std::unique_ptr<HttpServer> PlatformServer::makeServer()
{
    HttpServerSettings settings;
    settings.drainGrace = std::chrono::milliseconds(50);
    return std::make_unique<HttpServer>(m_workers, settings, [this](HttpExchange &exchange) {
        return serve(exchange);
    });
}

absl::Status PlatformServer::listen()
{
    m_objects = makeServer();
    absl::Status status = m_objects->listen(m_settings.address, m_settings.port);
    m_port = m_objects->port();
    if (status.ok() && m_settings.hasControlPort) {
        m_control = makeServer();
        status = m_control->listen(m_settings.address, m_settings.controlPort);
    }
    return status;
}

std::uint16_t PlatformServer::port() const
{
    return m_port;
}

std::uint16_t PlatformServer::controlPort() const
{
    return m_control ? m_control->port() : m_port;
}

void PlatformServer::stop(std::function<void()> onStopped)
{
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
    for (const Waiter &waiter : m_waiters) {
        wake(waiter);
    }
    if (m_control) {
        m_control->drain();
    }
    if (m_objects) {
        m_objects->drain(std::move(onStopped));
    } else {
        m_workers.post(std::move(onStopped));
    }
}

net::awaitable<void> PlatformServer::serve(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::optional<UrlTarget> target = UrlTarget::parse(request.target);
    if (target && target->path().starts_with(kControl)) {
        HttpResponse response = serveControl(request, target->path().substr(sizeof kControl - 1));
        co_await closeRetired();
        (void)co_await exchange.respond(std::move(response));
        co_return;
    }
    const absl::StatusOr<PlatformCall> call = PlatformCall::read(request);
    if (!call.ok()) {
        (void)co_await exchange.respond(makeErrorResponse(call.status()));
        co_return;
    }
    if (std::optional<HttpResponse> refusal = refuse(*call)) {
        (void)co_await exchange.respond(std::move(*refusal));
        co_return;
    }
    if (call->kind == CallKind::Watch) {
        co_await serveWatch(exchange, *call);
    } else {
        co_await serveObjects(exchange, *call);
    }
}

net::awaitable<void> PlatformServer::serveObjects(HttpExchange &exchange, const PlatformCall &call)
{
    Duration latency;
    Duration answerLatency;
    {
        const std::lock_guard lock(m_mutex);
        latency = m_faults.latency;
        answerLatency = m_faults.answerLatency;
    }
    co_await pauseFor(latency);
    HttpResponse response = run(call);
    if (response.status == 200 && takesAnswerAway(call)) {
        exchange.abort();
        co_return;
    }
    co_await pauseFor(answerLatency);
    co_await answer(exchange, std::move(response));
}

net::awaitable<void> PlatformServer::serveWatch(HttpExchange &exchange, const PlatformCall &call)
{
    StoreChanges changes;
    Waiter waiter;
    waiter.prefix = call.key;
    waiter.timer = std::make_shared<net::steady_timer>(co_await net::this_coro::executor);
    std::list<Waiter>::iterator it;
    bool waits;
    {
        const std::lock_guard lock(m_mutex);
        waiter.isSilent = m_faults.silentWatches;
        changes = m_table.changesAfter(call.key, call.fromVersion);
        waits = (changes.objects.empty() || waiter.isSilent) && !m_isStopping;
        it = m_waiters.insert(m_waiters.end(), waiter);
    }
    if (waits) {
        co_await waitFor(*waiter.timer, waiter.isSilent ? kSilence : kWatchTimeout);
    }
    bool isAway;
    {
        const std::lock_guard lock(m_mutex);
        m_waiters.erase(it);
        isAway = m_faults.away != FaultPlan::Away::No;
        changes = m_table.changesAfter(call.key, call.fromVersion);
    }
    if (isAway && !waiter.isSilent) {
        (void)co_await exchange.respond(makeAwayResponse());
        co_return;
    }
    if (waiter.isSilent) {
        exchange.abort();
        co_return;
    }
    co_await answer(exchange, makeChangesResponse(changes));
}

net::awaitable<void> PlatformServer::answer(HttpExchange &exchange, HttpResponse response)
{
    {
        const std::lock_guard lock(m_mutex);
        m_statistics.countAnswer(response.body.size());
    }
    (void)co_await exchange.respond(std::move(response));
}

std::optional<HttpResponse> PlatformServer::refuse(const PlatformCall &call)
{
    const std::lock_guard lock(m_mutex);
    const bool writes = isWrite(call.kind);
    if (m_faults.away != FaultPlan::Away::No) {
        m_statistics.countAway();
        return makeAwayResponse();
    }
    const int limit = writes ? m_faults.writesPerSecond : m_faults.readsPerSecond;
    if (!(writes ? m_writeRate : m_readRate).take(limit, now())) {
        m_statistics.countLimited();
        return makeErrorResponse(makeFailure(FailureCode::CeilingReached, "too many calls a second", kLimitRetryAfter));
    }
    m_statistics.count(call.kind, call.key, call.value.size(), now());
    return std::nullopt;
}

HttpResponse PlatformServer::run(const PlatformCall &call)
{
    const std::lock_guard lock(m_mutex);
    switch (call.kind) {
    case CallKind::Put:
        return write(call);
    case CallKind::Delete:
        return remove(call);
    default:
        return read(call);
    }
}

HttpResponse PlatformServer::read(const PlatformCall &call)
{
    const bool isStale = m_faults.staleReads > Duration::zero();
    const Instant moment = now() - m_faults.staleReads;
    if (call.kind == CallKind::List) {
        return makeChangesResponse(isStale ? m_table.listAt(call.key, moment) : m_table.list(call.key));
    }
    absl::StatusOr<StoredObject> object = isStale ? m_table.getAt(call.key, moment) : m_table.get(call.key);
    if (!object.ok()) {
        return makeObjectError(object.status());
    }
    return makeVersionResponse(object->version, std::move(object->value));
}

HttpResponse PlatformServer::write(const PlatformCall &call)
{
    const absl::StatusOr<std::uint64_t> version = m_table.put(call.key, call.value, call.expectedVersion, now());
    if (!version.ok()) {
        return makeObjectError(version.status());
    }
    wakeWatchers(call.key);
    return makeVersionResponse(*version, "");
}

HttpResponse PlatformServer::remove(const PlatformCall &call)
{
    const absl::Status status = m_table.remove(call.key, call.expectedVersion, now());
    if (!status.ok()) {
        return makeObjectError(status);
    }
    wakeWatchers(call.key);
    return HttpResponse();
}

bool PlatformServer::takesAnswerAway(const PlatformCall &call)
{
    const std::lock_guard lock(m_mutex);
    if (!isWrite(call.kind)) {
        return false;
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        m_statistics.countLostAnswer();
        return true;
    }
    const bool isLost = std::uniform_real_distribution<>()(m_random) < m_faults.loseAnswerShare;
    if (isLost) {
        m_statistics.countLostAnswer();
    }
    return isLost;
}

HttpResponse PlatformServer::serveControl(const HttpRequest &request, const std::string &path)
{
    absl::Status status =
        makeFailure(FailureCode::UnknownRoute, request.method + " " + request.target + " isn't known");
    if (request.method == "GET" && path == "stats") {
        const std::lock_guard lock(m_mutex);
        return makeJsonResponse(m_statistics.toJson());
    }
    if (request.method == "POST" && path == "instances") {
        status = feedInstance(request.body);
    }
    if (request.method == "POST" && path == "faults") {
        status = setFaults(request.body);
    }
    if (!status.ok() && !(request.method == "GET" && path == "faults")) {
        return makeErrorResponse(status);
    }
    const std::lock_guard lock(m_mutex);
    return makeJsonResponse(m_faults.toJson());
}

absl::Status PlatformServer::setFaults(const std::string &text)
{
    FaultPlan::Away before;
    FaultPlan::Away after;
    {
        const std::lock_guard lock(m_mutex);
        FaultPlan merged = m_faults;
        const absl::Status status = merged.merge(text);
        if (!status.ok()) {
            return status;
        }
        if (merged.away == FaultPlan::Away::Refused && !m_control) {
            return makeFailure(FailureCode::InvalidRequest, "connections are refused only with --control-port");
        }
        before = m_faults.away;
        after = merged.away;
        m_faults = merged;
        if (after != FaultPlan::Away::No) {
            wakeAllWatchers();
        }
        kLog.info("faults set", {field("faults", merged.toJson())});
    }
    if ((before == FaultPlan::Away::Refused) != (after == FaultPlan::Away::Refused)) {
        setRefusing(after == FaultPlan::Away::Refused);
    }
    return absl::OkStatus();
}

void PlatformServer::setRefusing(bool refuses)
{
    const std::lock_guard lock(m_mutex);
    if (refuses) {
        m_retired = std::move(m_objects);
        return;
    }
    m_objects = makeServer();
    const absl::Status status = m_objects->listen(m_settings.address, m_port);
    if (!status.ok()) {
        kLog.error("can't listen again", {field("error", std::string(status.message()))});
    }
}

// Were the fault told as done before the connections are closed, the next call could begin on one of them. Its outcome
// would be unknown, where a refused connection proves that it did not run.
net::awaitable<void> PlatformServer::closeRetired()
{
    std::unique_ptr<HttpServer> retired;
    {
        const std::lock_guard lock(m_mutex);
        retired = std::move(m_retired);
    }
    if (!retired) {
        co_return;
    }
    const auto close = [server = retired.get()](auto done) {
        server->close([done] {
            done(true);
        });
    };
    (void)co_await awaitCallback<bool>(close);
}

absl::Status PlatformServer::feedInstance(const std::string &text)
{
    {
        const std::lock_guard lock(m_mutex);
        const absl::Status status = m_instances.feed(text, now() + m_faults.listLag);
        if (!status.ok()) {
            return status;
        }
    }
    showDueInstances();
    return absl::OkStatus();
}

void PlatformServer::showDueInstances()
{
    const std::lock_guard lock(m_mutex);
    for (const std::string &key : m_instances.showDue(m_table, now())) {
        wakeWatchers(key);
    }
    armListTimer();
}

void PlatformServer::armListTimer()
{
    const std::optional<Instant> due = m_instances.nextDue();
    if (!due || m_isStopping) {
        return;
    }
    m_listTimer.expires_after(*due - now());
    m_listTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            showDueInstances();
        }
    });
}

void PlatformServer::wakeWatchers(const std::string &key)
{
    for (const Waiter &waiter : m_waiters) {
        if (!waiter.isSilent && key.starts_with(waiter.prefix)) {
            wake(waiter);
        }
    }
}

void PlatformServer::wakeAllWatchers()
{
    for (const Waiter &waiter : m_waiters) {
        if (!waiter.isSilent) {
            wake(waiter);
        }
    }
}

void PlatformServer::wake(const Waiter &waiter)
{
    net::post(waiter.timer->get_executor(), [timer = waiter.timer] {
        timer->cancel();
    });
}

}
