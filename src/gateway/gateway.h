#pragma once

#include "adminserver.h"
#include "asiotimerservice.h"
#include "budgetpeers.h"
#include "budgets/budgetholder.h"
#include "budgetservice.h"
#include "callintake.h"
#include "callservices.h"
#include "configurationlistener.h"
#include "cordonlistener.h"
#include "countedstore.h"
#include "endpointlistener.h"
#include "gatewayadapter.h"
#include "gatewaysettings.h"
#include "httpserver.h"
#include "limitreports.h"
#include "limits/linkshedder.h"
#include "peerannouncement.h"
#include "peerregistry.h"
#include "poisonguard.h"
#include "prepaidbudgets.h"
#include "reportrouter.h"
#include "serving/objectfollower.h"
#include "serving/probedstore.h"
#include "serving/relayedstore.h"
#include "systemrandom.h"
#include "watchpeers.h"

#include <functional>
#include <memory>

namespace RadishSwitch
{

/// One gateway process: takes callers' calls and sends them straight to endpoints.
///
/// Everything runs on one worker. A gateway has a fraction of one core, and each decision takes microseconds: locks
/// would cost more than they could win.
class Gateway
{
public:
    explicit Gateway(GatewaySettings settings);
    ~Gateway();

    /// Opens all doors. The errors of listening.
    absl::Status start();

    /// Planned stop: not ready at once, taking calls until the balancer has noticed, then everything in progress
    /// finished and the portions of budgets given back. Calls back when all is done, or the drain timeout has passed.
    void drain(std::function<void()> callback);

    WorkerPool &workers()
    {
        return m_workers;
    }

    std::uint16_t port() const;
    std::uint16_t adminPort() const;

private:
    void startOnWorker();
    /// Whether the store itself does not answer this gateway.
    bool isStoreUnreachable() const;
    bool followsCordons() const;
    /// Whether it knows all that calls are served by.
    bool isServing() const;
    void handlePeers(const std::map<std::string, FleetPeer> &peers);
    void runMaintenance();
    void logPortions() const;
    void logDroppedLines();
    void applyConfiguration(const ServingTablePointer &table);
    void followPeers();
    void follow(ObjectFollower &follower, const std::string &prefix);
    void updateReady();
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    void stopAccepting();
    void releaseBudgets();
    void finishStop();
    void completeDrain();
    void handOverPortions();
    void updateGauges();

    const GatewaySettings m_settings;
    WorkerPool m_workers;
    AsioTimerService m_timers;
    SystemRandom m_random;
    Metrics m_metrics;
    GatewayAdapter m_adapter;
    CountedStore m_store;
    CallGate m_gate;
    Ledger m_ledger;
    BudgetHolder m_holder;
    HomeDirectory m_homes;
    PrepaidBudgets m_ownBudgets;
    MessageClients m_clients;
    BudgetPeers m_budgetPeers;
    WatchPeers m_watchPeers;
    ProbedStore m_probedStore;
    RelayedStore m_relayedStore;
    SharedBudgets m_budgets;
    BudgetService m_budgetService;
    PeerAnnouncement m_announcement;
    PeerRegistry m_peerRegistry;
    EndpointConnections m_connections;
    std::map<PoolId, RetryBudget> m_retryBudgets;
    CallMetrics m_callMetrics;
    LogSampler m_sampler;
    LogSampler m_failureSampler;
    LinkShedder m_link;
    PoisonGuard m_poison;
    LimitReports m_limits;
    CallServices m_services;
    CallIntake m_intake;
    ConfigurationListener m_configuration;
    EndpointListener m_endpoints;
    CordonListener m_cordons;
    ReportRouter m_reportRouter;
    ObjectFollower m_configurationFollower;
    ObjectFollower m_endpointFollower;
    ObjectFollower m_cordonFollower;
    ObjectFollower m_reportFollower;
    Http2MessageServer m_peerServer;
    HttpServer m_server;
    AdminServer m_admin;
    /// The same on an address of its own, where one is set.
    AdminServer m_metricsServer;
    std::function<void()> m_onDrained;
    bool m_isStopping = false;
    /// All calls have ended, or are waited for no longer.
    bool m_isStopComplete = false;
    bool m_arePortionsReturned = false;
};

}
