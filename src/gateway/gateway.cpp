#include "gateway.h"

#include "call.h"
#include "failure.h"
#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("process");

constexpr Duration kUpkeepInterval = std::chrono::seconds(2);
/// Kept back from the drain timeout: portions are given back, and the process ends, before it would be killed.
/// Longer than any call lasts.
constexpr Duration kReservationExpiry = std::chrono::seconds(20);
constexpr Duration kStopReserve = std::chrono::milliseconds(700);

GatewayStoreSettings storeSettings(const GatewaySettings &settings)
{
    GatewayStoreSettings store;
    store.address = settings.platform.toString();
    // A change that a watch misses is known after its wait, the slack after it and a list; two fifths of the bound leave
    // room for a list from a slow store.
    store.watchWait = settings.changeBound * 2 / 5;
    store.relaxedPrefix = PeerRegistry::kPrefix;
    return store;
}

LedgerSettings ledgerSettings(const GatewaySettings &settings)
{
    LedgerSettings ledger;
    ledger.shardCount = static_cast<std::uint32_t>(settings.ledgerShards);
    ledger.storeCallsPerSecond = 20;
    ledger.storeCallBurst = 20;
    ledger.soonDelay = std::chrono::milliseconds(200);
    ledger.relaxedDelay = std::chrono::milliseconds(800);
    ledger.longestBackoff = std::chrono::milliseconds(800);
    // Callers wait for the ledger; one call without an answer is reason enough to tell them.
    ledger.failuresUntilAway = 1;
    return ledger;
}

BudgetHolderSettings holderSettings(const GatewaySettings &settings, RandomSource &random)
{
    BudgetHolderSettings holder;
    holder.incarnation = IncarnationId(settings.instance + "-" + random.freshName());
    holder.region = settings.region;
    holder.survivalTime = settings.survivalTime;
    holder.averagingTime = std::chrono::seconds(4);
    holder.lowWaterShare = 0.75;
    holder.shareOfFree = 0.25;
    holder.shortestAverage = std::chrono::milliseconds(1500);
    holder.requestsAhead = 2;
    holder.surplusFactor = 1.5;
    // A home that stands in for another gives its portion back soon after.
    holder.idleTime = std::chrono::seconds(4);
    holder.checkpointInterval = std::chrono::seconds(4);
    holder.relaxedCheckpointInterval = std::chrono::seconds(4);
    holder.exhaustedRetryAfter = std::chrono::seconds(2);
    // Another gateway may still hold a portion, and a caller's next try goes to another.
    holder.unavailableRetryAfter = std::chrono::milliseconds(200);
    return holder;
}

TransportSettings transportSettings(const GatewaySettings &settings)
{
    TransportSettings transport;
    transport.fleetKey = settings.fleetKey;
    transport.connectTimeout = std::chrono::milliseconds(200);
    transport.pingInterval = std::chrono::seconds(1);
    return transport;
}

RetrySettings retrySettings(const GatewaySettings &settings)
{
    RetrySettings retry;
    retry.share = settings.retryShare;
    retry.burst = settings.retryBurst;
    // The next endpoint is another one, and its load is weighed: waiting first would only make the caller wait.
    retry.firstBackoff = Duration::zero();
    return retry;
}

}

Gateway::Gateway(GatewaySettings settings)
    : m_settings(std::move(settings))
    , m_workers(1)
    , m_timers(m_workers)
    , m_adapter(makeGatewayAdapter(m_workers, storeSettings(m_settings)))
    , m_gate(m_timers, m_random, m_settings.zone)
    , m_ledger(*m_adapter.store, m_timers, m_random, ledgerSettings(m_settings))
    , m_holder(m_ledger, m_timers, m_workers, m_random, holderSettings(m_settings, m_random))
    , m_ownBudgets(m_ledger, m_holder, m_timers)
    , m_clients(m_workers, transportSettings(m_settings))
    , m_budgetPeers(m_clients, m_timers, kReservationExpiry)
    , m_budgets(m_settings.instance, m_ownBudgets, m_budgetPeers, m_timers)
    , m_budgetService(m_ownBudgets, m_timers)
    , m_peerRegistry(*m_adapter.store, m_timers, m_random, m_settings.instance, m_settings.peerListen.toString(),
                     [this](const std::map<std::string, std::string> &addresses) {
                         handlePeers(addresses);
                     })
    , m_connections(m_workers.context())
    , m_services{*m_adapter.protocol, m_timers, m_random, m_gate, m_budgets, m_connections,
                 m_retryBudgets, retrySettings(m_settings), CallTimes(), m_metrics}
    , m_configuration(*m_adapter.catalogue,
                      [this](const ServingTablePointer &table) {
                          handleNewer(table);
                      })
    , m_endpoints(*m_adapter.catalogue, m_gate, m_timers,
                  [this](const EndpointId &endpoint) {
                      m_connections.forget(endpoint);
                  })
    , m_configurationFollower(*m_adapter.store, m_timers, m_random, m_adapter.catalogue->configurationPrefix(),
                              m_configuration)
    , m_endpointFollower(*m_adapter.store, m_timers, m_random, m_adapter.catalogue->endpointPrefix(), m_endpoints)
    , m_peerServer(m_workers, transportSettings(m_settings))
    , m_server(m_workers, HttpServerSettings(),
               [this](HttpExchange &exchange) {
                   return serve(exchange);
               })
    , m_admin(m_workers, m_metrics)
{
}

Gateway::~Gateway()
{
    m_workers.stop();
}

absl::Status Gateway::start()
{
    kLog.info("starting", {field("instance", m_settings.instance), field("zone", m_settings.zone),
                           field("listen", m_settings.listen.toString()), field("store", m_settings.platform.toString())});
    m_peerServer.handle(kBudgetPath, [this](const MessageStreamPointer &stream) {
        m_budgetService.serve(stream);
    });
    absl::Status status = m_admin.listen(m_settings.adminListen.ip(), m_settings.adminListen.port());
    if (status.ok()) {
        status = m_peerServer.listen(m_settings.peerListen.ip(), m_settings.peerListen.port());
    }
    if (status.ok()) {
        status = m_server.listen(m_settings.listen.ip(), m_settings.listen.port());
    }
    if (!status.ok()) {
        return status;
    }
    m_workers.post([this] {
        begin();
    });
    m_workers.start();
    return absl::OkStatus();
}

void Gateway::begin()
{
    m_metrics.beforeCollection([this] {
        countGauges();
    });
    const auto follow = [](ObjectFollower &follower, const char *name) {
        follower.setContactCallback([name](bool isReached) {
            kLog.warning(isReached ? "store reached again" : "store lost", {field("follower", name)});
        });
        follower.start();
    };
    follow(m_configurationFollower, "configuration");
    follow(m_endpointFollower, "endpoints");
    m_peerRegistry.start();
    m_timers.every(kUpkeepInterval, [this] {
        m_connections.closeExpired();
        m_gate.noteRosterChanged();
        updateReady();
    });
}

void Gateway::handleNewer(const ServingTablePointer &table)
{
    const CallerLimits &limits = table->configuration().limits;
    HttpServerLimits serverLimits;
    serverLimits.maximumHeaderBytes = limits.maximumHeaderBytes;
    serverLimits.maximumBodyBytes = limits.maximumBodyBytes;
    serverLimits.readTimeout = limits.headerTimeout;
    serverLimits.idleTimeout = limits.idleTimeout;
    m_server.setLimits(serverLimits);
    m_ownBudgets.applyConfiguration(table->configuration());
    updateReady();
}

void Gateway::handlePeers(const std::map<std::string, std::string> &addresses)
{
    std::vector<std::string> names;
    for (const auto &[name, address] : addresses) {
        names.push_back(name);
    }
    m_budgetPeers.setAddresses(addresses);
    m_budgets.homes().setPeers(names);
}

void Gateway::updateReady()
{
    m_admin.setReady(!m_isStopping && m_configuration.table() && m_gate.roster().isKnown());
}

boost::asio::awaitable<void> Gateway::serve(HttpExchange &exchange)
{
    Call call(m_services, exchange, m_configuration.table());
    co_await call.run();
}

void Gateway::drain(std::function<void()> callback)
{
    m_workers.post([this, callback = std::move(callback)]() mutable {
        kLog.info("draining", {field("in_progress", m_server.requestsInProgress())});
        m_isStopping = true;
        m_onDrained = std::move(callback);
        updateReady();
        m_server.closeAfterAnswers();
        m_timers.after(m_settings.drainNotice, [this] {
            stopTaking();
        });
        m_timers.after(m_settings.drainTimeout - kStopReserve, [this] {
            finishStop();
        });
    });
}

void Gateway::stopTaking()
{
    m_server.drain([this] {
        finishStop();
    });
}

void Gateway::finishStop()
{
    if (!m_onDrained) {
        return;
    }
    // Called by whichever comes first; the budgets' answer is not waited for beyond the reserve.
    const auto done = std::make_shared<std::function<void()>>(std::exchange(m_onDrained, nullptr));
    const auto end = [done] {
        if (const auto callback = std::exchange(*done, nullptr)) {
            kLog.info("stopped");
            callback();
        }
    };
    m_holder.stop(end);
    m_timers.after(kStopReserve / 2, end);
}

void Gateway::reload()
{
    kLog.info("reload asked for; settings are read at a start only");
}

std::uint16_t Gateway::port() const
{
    return m_server.port();
}

std::uint16_t Gateway::adminPort() const
{
    return m_admin.port();
}

void Gateway::countGauges()
{
    m_metrics.gauge("radishswitch_calls_placed", "Calls under way at endpoints").set(static_cast<double>(m_gate.placed()));
    m_metrics.gauge("radishswitch_calls_waiting", "Calls that wait for an endpoint").set(static_cast<double>(m_gate.waiting()));
    m_metrics.gauge("radishswitch_endpoints", "Endpoints known").set(static_cast<double>(m_gate.roster().size()));
    m_metrics.gauge("radishswitch_idle_connections", "Idle connections to endpoints")
        .set(static_cast<double>(m_connections.idleCount()));
    m_metrics.gauge("radishswitch_configuration_version", "Version of the configuration in force")
        .set(m_configuration.table() ? static_cast<double>(m_configuration.table()->configuration().version) : 0);
}

}
