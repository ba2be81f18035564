#pragma once

#include "adminserver.h"
#include "agentmetrics.h"
#include "agentruns.h"
#include "agentsettings.h"
#include "asiotimerservice.h"
#include "endpointmonitor.h"
#include "heartbeatpublisher.h"
#include "http2transport.h"
#include "httpclient.h"
#include "httpendpoint.h"
#include "orderforwarder.h"
#include "workerpool.h"

#include <atomic>
#include <future>
#include <memory>
#include <mutex>

namespace RadishSwitch
{

/// One agent process, from its settings to its end.
class AgentProgram
{
public:
    explicit AgentProgram(AgentSettings settings);
    ~AgentProgram();

    /// Begins to serve. InvalidSettings when an address can't be bound.
    absl::Status start();

    /// Begins to leave: tells every listener at once, takes no new run, and lets those in progress end and be fetched.
    /// Only the first call counts.
    void leave();

    /// Waits until the agent has left. Gives how many runs the drain timeout cut off.
    int waitUntilLeft();

    WorkerPool &workers();

private:
    absl::Status listen();
    void serveAdmin();
    boost::asio::awaitable<void> drainOnOrder(HttpExchange &exchange);
    std::string statusJson() const;
    void updateMetrics();
    void watchDrain();
    wire::AgentHeartbeat identity(const IncarnationId &incarnation) const;
    AgentRunsSettings runsSettings() const;
    EndpointMonitorSettings monitorSettings() const;

    AgentSettings m_settings;
    WorkerPool m_workers;
    AsioTimerService m_timers;
    HttpClient m_client;
    HttpEndpoint m_endpoint;
    Metrics m_metrics;
    AgentMetrics m_agentMetrics;
    AdminServer m_admin;
    std::shared_ptr<EndpointMonitor> m_monitor;
    std::shared_ptr<AgentRuns> m_runs;
    std::shared_ptr<HeartbeatPublisher> m_heartbeats;
    std::shared_ptr<OrderForwarder> m_orders;
    std::unique_ptr<Http2MessageServer> m_server;
    std::once_flag m_leaveOnce;
    std::atomic<bool> m_isLeaving = false;
    Instant m_leavingSince;
    std::once_flag m_leftOnce;
    std::promise<int> m_left;
};

}
