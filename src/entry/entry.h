#pragma once

#include "adminserver.h"
#include "agentlinks.h"
#include "asiotimerservice.h"
#include "dispatchgate.h"
#include "entrysettings.h"
#include "fleetagentport.h"
#include "fleethomedirectory.h"
#include "homeservice.h"
#include "homestack.h"
#include "http2transport.h"
#include "httpdoor.h"
#include "httpobjectstore.h"
#include "httpserver.h"
#include "listedinstances.h"
#include "metrics.h"
#include "peerlinks.h"
#include "requestjournal.h"
#include "systemrandom.h"
#include "table/tablefollower.h"
#include "workerpool.h"

#include <atomic>
#include <functional>

namespace RadishSwitch
{

/// One entry process: everything it is made of, joined together.
class Entry : private HolderDirectory
{
public:
    explicit Entry(EntrySettings settings);
    ~Entry() override;

    /// Opens all doors. The errors of listening.
    absl::Status start();

    /// Planned stop: no new work, everything in progress finished, portions and key shards handed over. Calls back
    /// when all is done, or the drain timeout has passed.
    void drain(std::function<void()> callback);

    /// Called when an operator orders this entry to drain; before `start`.
    void setDrainOrdered(std::function<void()> callback);

    WorkerPool &workers();
    std::uint16_t port() const;

private:
    HolderState stateOf(const IncarnationId &holder) const override;
    std::vector<std::uint32_t> homeShards() const override;

    EntryMember selfMember() const;
    KeyOwner selfOwner() const;
    void becomeReady();
    void followList();
    void followTable();
    void followMembership();
    void takeMembership();
    void followAgents();
    void applySubset(const std::vector<PlatformInstance> &present);
    void serveAdmin();
    boost::asio::awaitable<void> drainOnOrder(HttpExchange &exchange);
    void updateMetrics();
    std::string statusJson();
    HttpResponse requestStory(const std::string &requestId);
    void waitForRequests(std::function<void()> callback);
    void handOver(std::function<void()> callback);
    std::vector<std::string> agentAddresses();
    bool isAgentGone(const std::string &life);

    const EntrySettings m_settings;
    WorkerPool m_workers;
    AsioTimerService m_timers;
    SystemRandom m_random;
    const IncarnationId m_incarnation;
    const std::string m_address;
    MessageClients m_clients;
    Http2MessageServer m_peerServer;
    HttpObjectStore m_store;

    Monitor m_listMonitor;
    MonitoredObjectStore m_listStore;
    MonitoredTimerService m_listTimers;
    ListedInstances m_listed;

    Monitor m_membershipMonitor;
    FleetMembership m_membership;
    PeerLinks m_peers;
    TableFollower m_table;

    DispatchGate m_gate;
    AgentLinks m_links;
    FleetAgentPort m_agents;
    MembershipEntryDirectory m_entries;
    HomeStack m_homeStack;
    HomeService m_homeService;
    FleetHomeDirectory m_homes;
    RequestJournal m_journal;
    RequestCounts m_counts;
    HttpDoor m_door;
    HttpServer m_server;
    Metrics m_metrics;
    AdminServer m_admin;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_hasAgentChange = false;
    Instant m_drainDeadline;
    std::function<void()> m_onDrainOrdered;
};

}
