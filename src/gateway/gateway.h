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
#include "limits/intakebudget.h"
#include "limits/linkshedder.h"
#include "limits/linktraffic.h"
#include "loadsubscription.h"
#include "peerannouncement.h"
#include "peerregistry.h"
#include "poisonguard.h"
#include "prepaidbudgets.h"
#include "reportrouter.h"
#include "serving/gatewayloads.h"
#include "serving/objectfollower.h"
#include "serving/probedstore.h"
#include "serving/relayedstore.h"
#include "serving/streamorigins.h"
#include "streamoriginpeers.h"
#include "streamoriginservice.h"
#include "systemrandom.h"
#include "versionreports.h"
#include "watchpeers.h"

#include <functional>
#include <memory>

namespace RadishSwitch
{

/// A gateway process, which accepts calls from callers and sends them directly to endpoints.
///
/// Everything runs on one worker. A gateway has a fraction of a core and each decision takes microseconds, so that more
/// threads and their locks would cost more than they gain.
class Gateway
{
public:
    explicit Gateway(GatewaySettings settings);
    ~Gateway();

    /// Opens all listening sockets and starts the worker. Returns the error of the first socket that fails.
    absl::Status start();

    /// Planned stop. The gateway reports that it is not ready at once, accepts calls until the load balancer has had
    /// time to notice, then finishes the calls in progress and returns its portions of budgets. Calls back when all
    /// this is done, or when the drain timeout is nearly over.
    void drain(std::function<void()> callback);

    WorkerPool &workers()
    {
        return m_workers;
    }

    std::uint16_t port() const;
    std::uint16_t adminPort() const;

private:
    void startOnWorker();
    /// Whether the store does not answer this gateway directly; a home may still relay it.
    bool isStoreUnreachable() const;
    bool followsCordons() const;
    /// How long ago this gateway last had everything that the gateways announce to each other.
    VersionReports::Inputs versionReportInputs();
    Duration announcementAge() const;
    void followVersions();
    /// Whether the gateway knows everything needed to serve calls: configuration, endpoints, peers and cordons.
    bool isServing() const;
    void handlePeers(const std::map<std::string, FleetPeer> &peers);
    void runMaintenance();
    void logPortions() const;
    void logDroppedLines();
    void applyConfiguration(const ServingTablePointer &table);
    void followPeers();
    void follow(ObjectFollower &follower, const std::string &prefix);
    void updateReady();
    /// Lets the load of the zone's gateways decide when this one leaves the load balancer's rotation.
    void startRotation();
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
    /// Bytes on the connections of callers and to endpoints, if the bandwidth of the link is known.
    LinkTraffic m_traffic;
    EndpointConnections m_connections;
    std::map<PoolId, RetryBudget> m_retryBudgets;
    CallMetrics m_callMetrics;
    LogSampler m_sampler;
    LogSampler m_failureSampler;
    LinkShedder m_link;
    IntakeBudget m_intakeBudget;
    PoisonGuard m_poison;
    LimitReports m_limits;
    WriterProbe m_writers;
    VersionReports m_versionReports;
    /// The processes that keep origins of streams. Apart from `m_homes`, so that what becomes of origins does not
    /// decide where budgets are reserved.
    HomeDirectory m_originHolders;
    StreamOriginPeers m_originPeers;
    StreamOrigins m_streamOrigins;
    StreamOriginService m_originService;
    AnswerMemory m_answers;
    CallServices m_services;
    CallIntake m_intake;
    GatewayLoads m_gatewayLoads;
    /// The homes as collectors of load. What becomes of load updates must not decide where budgets are reserved, so
    /// that it is apart from `m_homes`.
    HomeDirectory m_collectors;
    LoadSubscription m_loadSubscription;
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
    /// The same pages on a separate address, if one is set.
    AdminServer m_metricsServer;
    std::function<void()> m_onDrained;
    bool m_isStopping = false;
    /// All calls have ended, or the drain timeout is nearly over.
    bool m_isStopComplete = false;
    bool m_arePortionsReturned = false;
};

}
