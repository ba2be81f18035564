#include "agentprogram.h"

#include "agentserver.h"
#include "log.h"
#include "systemrandom.h"

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
{
    if (m_settings.advertise.port() == 0) {
        m_settings.advertise = m_settings.listen;
    }
    if (m_settings.endpointName.empty()) {
        m_settings.endpointName = m_settings.endpoint.toString();
    }
}

AgentProgram::~AgentProgram()
{
    if (m_server) {
        m_server->close();
    }
    m_workers.stop();
}

absl::Status AgentProgram::start()
{
    const IncarnationId incarnation(SystemRandom().freshName());
    m_monitor = std::make_shared<EndpointMonitor>(m_endpoint, m_timers, monitorSettings());
    m_runs = std::make_shared<AgentRuns>(m_endpoint, *m_monitor, m_timers, runsSettings());
    m_heartbeats = std::make_shared<HeartbeatPublisher>(*m_monitor, m_timers, identity(incarnation));
    TransportSettings transport;
    transport.fleetKey = m_settings.fleet.fleetKey;
    m_server = std::make_unique<Http2MessageServer>(m_workers, transport);
    AgentServer(m_runs, m_heartbeats, incarnation).registerPaths(*m_server);
    m_workers.start();
    m_runs->start();
    m_heartbeats->start();
    m_monitor->start([this] {
        kLog.info(m_monitor->isHealthy() ? "endpoint is healthy" : "endpoint does not answer",
                  {field("endpoint", m_settings.endpointName)});
        m_heartbeats->publish();
    });
    const absl::Status status = m_server->listen(m_settings.listen.ip(), m_settings.listen.port());
    if (status.ok()) {
        kLog.info("serving",
                  {field("address", m_settings.listen.toString()), field("endpoint", m_settings.endpointName),
                   field("pool", m_settings.pool), field("incarnation", incarnation.value())});
    }
    return status;
}

void AgentProgram::leave()
{
    kLog.info("leaving", {field("running", m_runs->runningCount())});
    m_runs->setLeaving();
    m_heartbeats->setLeaving();
    m_leavingSince = m_timers.now();
    m_timers.every(kDrainCheckInterval, [this] {
        watchDrain();
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
    heartbeat.set_endpoint(m_settings.endpointName);
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
    settings.endpoint = m_settings.endpointName;
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
