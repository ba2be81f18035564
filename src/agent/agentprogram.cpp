#include "agentprogram.h"

#include "agentserver.h"
#include "log.h"
#include "systemrandom.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("agent");

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(100);
/// A leaving agent stays at least so long, so that a run already on its way is refused in order and not by a lost
/// connection, after which its entry could not know whether it ran.
constexpr Duration kShortestStay = std::chrono::seconds(1);

}

AgentProgram::AgentProgram(AgentSettings settings)
    : m_settings(std::move(settings))
    , m_workers(m_settings.process.workers)
    , m_timers(m_workers)
    , m_client(m_workers)
    , m_endpoint(m_workers, m_client, m_settings.endpoint.toString())
    , m_agentMetrics(m_metrics)
    , m_admin(m_workers, m_metrics)
{
    if (m_settings.advertise.port() == 0) {
        m_settings.advertise = m_settings.listen;
    }
    if (m_settings.name.empty()) {
        m_settings.name = m_settings.endpoint.toString();
    }
}

AgentProgram::~AgentProgram()
{
    if (m_server) {
        m_server->close();
    }
    m_admin.close();
    m_workers.stop();
}

absl::Status AgentProgram::start()
{
    const IncarnationId incarnation(SystemRandom().freshName());
    m_monitor = std::make_shared<EndpointMonitor>(m_endpoint, m_timers, monitorSettings());
    m_runs = std::make_shared<AgentRuns>(m_endpoint, *m_monitor, m_agentMetrics, m_timers, runsSettings());
    m_heartbeats = std::make_shared<HeartbeatPublisher>(*m_monitor, m_timers, identity(incarnation));
    TransportSettings transport;
    transport.fleetKey = m_settings.fleet.fleetKey;
    m_server = std::make_unique<Http2MessageServer>(m_workers, transport);
    m_orders = std::make_shared<OrderForwarder>(m_endpoint, FenceGate(PoolId(m_settings.pool), incarnation));
    AgentServer(m_runs, m_heartbeats, m_orders, incarnation).registerPaths(*m_server);
    serveAdmin();
    m_workers.start();
    m_runs->start();
    m_heartbeats->start();
    m_monitor->start([this] {
        kLog.info(m_monitor->isHealthy() ? "endpoint is healthy" : "endpoint does not answer",
                  {field("endpoint", m_settings.name)});
        m_heartbeats->publish();
    });
    const absl::Status status = listen();
    if (status.ok()) {
        m_admin.setReady(true);
        kLog.info("serving",
                  {field("address", m_settings.listen.toString()), field("endpoint", m_settings.name),
                   field("pool", m_settings.pool), field("incarnation", incarnation.value())});
    }
    return status;
}

absl::Status AgentProgram::listen()
{
    const absl::Status status = m_admin.listen(m_settings.adminListen.ip(), m_settings.adminListen.port());
    if (!status.ok()) {
        return status;
    }
    return m_server->listen(m_settings.listen.ip(), m_settings.listen.port());
}

void AgentProgram::serveAdmin()
{
    m_admin.handle("/status", [this](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        HttpResponse response;
        response.headers.add("Content-Type", "application/json");
        response.body = statusJson();
        (void)co_await exchange.respond(std::move(response));
    });
    m_admin.handle("/drain", [this](HttpExchange &exchange) {
        return drainOnOrder(exchange);
    });
    m_metrics.beforeCollection([this] {
        updateMetrics();
    });
}

boost::asio::awaitable<void> AgentProgram::drainOnOrder(HttpExchange &exchange)
{
    HttpResponse response;
    const bool isOrder = exchange.request().method == "POST";
    response.status = isOrder ? 202 : 405;
    response.headers.add("Content-Type", "application/json");
    response.body = isOrder ? R"({"state":"leaving"})" : R"({"error":{"code":"invalid_request"}})";
    (void)co_await exchange.respond(std::move(response));
    if (isOrder) {
        leave();
    }
}

std::string AgentProgram::statusJson() const
{
    const wire::Load load = m_monitor->load();
    const nlohmann::json status{{"role", "agent"},
                                {"name", m_settings.name},
                                {"address", m_settings.advertise.toString()},
                                {"pool", m_settings.pool},
                                {"region", m_settings.fleet.region},
                                {"zone", m_settings.fleet.zone},
                                {"state", m_isLeaving ? "leaving" : "ready"},
                                {"endpoint", m_settings.endpoint.toString()},
                                {"healthy", m_monitor->isHealthy()},
                                {"running", load.running()},
                                {"queued", load.queued()},
                                {"capacity", load.capacity()},
                                {"kept_answer_bytes", m_runs->keptBytes()}};
    return status.dump();
}

void AgentProgram::updateMetrics()
{
    const wire::Load load = m_monitor->load();
    m_metrics.gauge("radishswitch_agent_running", "Runs in progress that the endpoint has taken.").set(load.running());
    m_metrics.gauge("radishswitch_agent_queued", "Runs in progress beyond the endpoint's capacity.").set(load.queued());
    m_metrics.gauge("radishswitch_agent_kept_answer_bytes", "Memory of kept answers.")
        .set(static_cast<double>(m_runs->keptBytes()));
    m_metrics.gauge("radishswitch_agent_endpoint_healthy", "Whether the endpoint answers.")
        .set(m_monitor->isHealthy() ? 1 : 0);
}

void AgentProgram::leave()
{
    std::call_once(m_leaveOnce, [this] {
        kLog.info("leaving", {field("running", m_runs->runningCount())});
        m_isLeaving = true;
        m_admin.setReady(false);
        m_runs->setLeaving();
        m_heartbeats->setLeaving();
        m_leavingSince = m_timers.now();
        m_timers.every(kDrainCheckInterval, [this] {
            watchDrain();
        });
    });
}

int AgentProgram::waitUntilLeft()
{
    return m_left.get_future().get();
}

WorkerPool &AgentProgram::workers()
{
    return m_workers;
}

void AgentProgram::watchDrain()
{
    const Duration leaving = m_timers.now() - m_leavingSince;
    const bool isDrained = m_runs->isIdle() && leaving >= kShortestStay;
    if (isDrained || leaving >= m_settings.drainTimeout) {
        std::call_once(m_leftOnce, [this] {
            m_left.set_value(m_runs->runningCount());
        });
    }
}

wire::AgentHeartbeat AgentProgram::identity(const IncarnationId &incarnation) const
{
    wire::AgentHeartbeat heartbeat;
    heartbeat.set_endpoint(m_settings.name);
    heartbeat.set_incarnation(incarnation.value());
    heartbeat.set_pool(m_settings.pool);
    heartbeat.set_zone(m_settings.fleet.zone);
    heartbeat.set_region(m_settings.fleet.region);
    heartbeat.set_address(m_settings.advertise.toString());
    return heartbeat;
}

AgentRunsSettings AgentProgram::runsSettings() const
{
    AgentRunsSettings settings;
    settings.address = m_settings.advertise.toString();
    settings.endpoint = m_settings.name;
    settings.firstByteTimeout = m_settings.firstByteTimeout;
    settings.silenceTimeout = m_settings.silenceTimeout;
    settings.answerBuffer.maximumBytes = static_cast<std::size_t>(m_settings.answerMegabytes) * 1024 * 1024;
    return settings;
}

EndpointMonitorSettings AgentProgram::monitorSettings() const
{
    EndpointMonitorSettings settings;
    settings.kind = m_settings.endpointKind;
    settings.capacity = static_cast<std::uint32_t>(m_settings.capacity);
    settings.models = m_settings.models;
    settings.healthTarget = m_settings.healthTarget;
    return settings;
}

}
