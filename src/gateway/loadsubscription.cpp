#include "loadsubscription.h"

#include "base/failure.h"
#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("load");

/// A stream that was lost within this time of its opening is not replaced before the next report.
constexpr Duration kQuickLoss = std::chrono::milliseconds(100);

/// A silence that is noticed so late is this process's own: what the collector sent is read first.
constexpr Duration kOwnLateness = std::chrono::milliseconds(200);

/// Lines about one home's unreadable messages and failed streams are logged once in this time.
constexpr Duration kLogInterval = std::chrono::minutes(1);

/// Interval at which old reports are discarded while there are no load updates.
constexpr Duration kUpdateInterval = std::chrono::seconds(2);

/// Whether the home has answered, and takes no such streams.
bool isRefusal(const absl::Status &status)
{
    const FailureCode code = failureCode(status);
    const bool wasSent = outcomeOf(status) == RunOutcome::Unknown;
    return status.ok() || code == FailureCode::MalformedMessage || code == FailureCode::Unauthenticated
        || (code == FailureCode::ConnectionLost && wasSent);
}

bool isDue(Instant &lastAt, Instant now)
{
    if (lastAt != Instant::min() && now - lastAt < kLogInterval) {
        return false;
    }
    lastAt = now;
    return true;
}

}

LoadSubscription::LoadSubscription(MessageClientSource &clients, HomeDirectory &homes, TimerService &timers,
                                   Metrics &metrics, EndpointLoads &endpoints, GatewayLoads &gateways,
                                   LoadSubscriptionSettings settings, std::function<double()> fullness,
                                   std::function<bool()> isDiverting)
    : m_clients(clients)
    , m_homes(homes)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_endpoints(endpoints)
    , m_gateways(gateways)
    , m_settings(std::move(settings))
    , m_fullness(std::move(fullness))
    , m_isDiverting(std::move(isDiverting))
{
}

LoadSubscription::~LoadSubscription()
{
    m_timers.cancel(m_tickTimer);
    m_timers.cancel(m_silenceTimer);
    if (m_stream) {
        m_stream->cancel();
    }
}

void LoadSubscription::start()
{
    m_rejected = &m_metrics.counter("radishswitch_load_news_rejected_total",
                                    "Load reports and messages that were rejected as unreadable or impossible");
    m_updatedAt = m_timers.now();
    m_tickTimer = m_timers.every(m_settings.interval, [this] {
        tick();
    });
    chooseCollector();
}

void LoadSubscription::tick()
{
    if (m_timers.now() - m_updatedAt >= kUpdateInterval) {
        updateLoads();
    }
    const MessageStreamPointer before = m_stream;
    chooseCollector();
    // A stream that was just opened has the report as its first frame.
    if (m_stream && m_stream == before) {
        m_stream->send(ownFrame());
    }
}

std::string LoadSubscription::ownFrame() const
{
    GatewayLoadReport report;
    report.gateway = m_settings.instance;
    report.zone = m_settings.zone;
    report.fullness = m_fullness();
    report.linkMbps = m_settings.linkMbps;
    report.isDiverting = m_isDiverting();
    wire::LoadMessage message;
    *message.mutable_gateway() = gatewayLoadToWire(report);
    return message.SerializeAsString();
}

void LoadSubscription::chooseCollector()
{
    const Instant now = m_timers.now();
    const std::string home = m_homes.nearestHome(now);
    if (home.empty() || (m_stream && home == m_collector)) {
        m_preferred.clear();
        return;
    }
    if (now < m_states[home].pausedUntil || (m_stream && !shouldMoveTo(home, now))) {
        return;
    }
    open(home);
}

// The homes report to the collector that they rank first, as the gateways do. A collector that has no endpoints' load
// is one that the homes don't use (any more), and is left at once.
bool LoadSubscription::shouldMoveTo(const std::string &home, Instant now)
{
    if (home != std::exchange(m_preferred, home)) {
        m_preferredSince = now;
    }
    if (now - std::max(m_endpointNewsAt, m_openedAt) >= m_settings.silence) {
        return true;
    }
    return now - m_preferredSince >= m_settings.rankHold && now >= m_states[home].heldUntil;
}

void LoadSubscription::open(const std::string &home)
{
    const std::string address = m_homes.addressOf(home);
    if (address.empty()) {
        return;
    }
    if (const MessageStreamPointer old = std::exchange(m_stream, nullptr)) {
        old->cancel();
    }
    const Instant now = m_timers.now();
    m_collector = home;
    m_preferred.clear();
    m_openedAt = now;
    m_newsAt = now;
    m_hasNews = false;
    m_stream = m_clients.client(address)->open(kLoadPath, ownFrame());
    const MessageStream *opened = m_stream.get();
    m_stream->start(m_life.guard([this, opened](const std::string &frame) {
        if (m_stream.get() == opened) {
            handleFrame(frame);
        }
    }),
                    m_life.guard([this, opened](const absl::Status &status) {
                        handleClosed(opened, status);
                    }));
    armSilenceTimer(m_settings.silence);
}

void LoadSubscription::handleFrame(const std::string &frame)
{
    const absl::StatusOr<wire::LoadMessage> message = parseLoadFrame(frame);
    if (!message.ok()) {
        return handleRejected(message.status());
    }
    if (!message->has_news()) {
        return;
    }
    m_newsAt = m_timers.now();
    if (!std::exchange(m_hasNews, true)) {
        m_homes.noteReached(m_collector);
        kLog.info("collector chosen", {field("collector", m_collector)});
    }
    takeIn(message->news());
}

void LoadSubscription::takeIn(const wire::LoadNews &news)
{
    const Instant now = m_timers.now();
    for (const wire::EndpointLoadReport &it : news.endpoints()) {
        const absl::Status status = m_endpoints.takeIn(endpointLoadFromWire(it), now);
        status.ok() ? void(m_endpointNewsAt = now) : handleRejected(status);
    }
    for (const wire::GatewayLoadReport &it : news.gateways()) {
        if (const absl::Status status = m_gateways.takeIn(gatewayLoadFromWire(it), now); !status.ok()) {
            handleRejected(status);
        }
    }
    updateLoads();
}

void LoadSubscription::handleRejected(const absl::Status &status)
{
    m_rejected->add();
    if (isDue(m_states[m_collector].unreadableLoggedAt, m_timers.now())) {
        // A report of an endpoint that is not listed is common: the list and the load updates take different ways.
        const bool isUnlisted = failureCode(status) == FailureCode::NoEndpoint;
        kLog.write(isUnlisted ? LogLevel::Info : LogLevel::Warning, "news can't be read",
                   {field("collector", m_collector), field("reason", std::string(status.message())),
                    field("rejected", m_rejected->value())});
    }
}

void LoadSubscription::updateLoads()
{
    m_updatedAt = m_timers.now();
    for (const SpeedChange &it : m_endpoints.update(m_updatedAt)) {
        kLog.info(it.isSlow ? "endpoint slower than its pool" : "endpoint no longer slower than its pool",
                  {field("endpoint", it.endpoint.value()), field("pool", it.pool.value()),
                   field("factor", it.relativeSpeed)});
    }
}

void LoadSubscription::handleClosed(const MessageStream *stream, const absl::Status &status)
{
    if (m_stream.get() == stream) {
        lose(status);
    }
}

void LoadSubscription::armSilenceTimer(Duration delay)
{
    m_timers.cancel(m_silenceTimer);
    m_silenceDue = m_timers.now() + delay;
    m_silenceTimer = m_timers.after(delay, [this] {
        m_silenceTimer = 0;
        checkSilence();
    });
}

void LoadSubscription::checkSilence()
{
    if (!m_stream) {
        return;
    }
    const Instant now = m_timers.now();
    if (now - m_silenceDue >= kOwnLateness) {
        return armSilenceTimer(kOwnLateness);
    }
    const Duration silentFor = now - m_newsAt;
    if (silentFor < m_settings.silence) {
        return armSilenceTimer(m_settings.silence - silentFor);
    }
    lose(makeFailure(FailureCode::ConnectionSilent, "the collector sends no load updates"));
}

void LoadSubscription::lose(const absl::Status &status)
{
    const Instant now = m_timers.now();
    std::exchange(m_stream, nullptr)->cancel();
    logLost(status);
    HomeState &state = m_states[m_collector];
    state.heldUntil = now + m_settings.lostHold;
    if (!m_hasNews && isRefusal(status)) {
        state.pausedUntil = now + m_settings.refusedPause;
        m_homes.noteRefused(m_collector, now, m_settings.refusedPause);
    } else {
        m_homes.noteUnreachable(m_collector, now);
    }
    m_collector.clear();
    if (now - m_openedAt >= kQuickLoss) {
        chooseCollector();
    }
}

void LoadSubscription::logLost(const absl::Status &status)
{
    if (isDue(m_states[m_collector].lostLoggedAt, m_timers.now()) || m_hasNews) {
        kLog.warning("collector lost",
                     {field("collector", m_collector), field("reason", std::string(status.message()))});
    }
}

void LoadSubscription::updateGauges()
{
    const Instant now = m_timers.now();
    m_metrics.gauge("radishswitch_endpoint_news_known", "Endpoints whose load is known")
        .set(static_cast<double>(m_endpoints.knownCount()));
    m_metrics.gauge("radishswitch_endpoint_news_oldest_seconds", "Age of the oldest known load of an endpoint")
        .set(std::chrono::duration<double>(m_endpoints.oldestAge(now)).count());
    for (const PoolId &pool : m_endpoints.pools()) {
        m_metrics
            .gauge("radishswitch_pool_is_uneven", "Whether the endpoints of the pool differ much in speed",
                   {{"pool", pool.value()}})
            .set(m_endpoints.isUneven(pool) ? 1 : 0);
    }
}

}
