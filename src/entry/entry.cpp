#include "entry.h"

#include "apierror.h"
#include "base/failure.h"
#include "log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("entry");

constexpr char kAnyAddress[] = "0.0.0.0";
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);
constexpr Duration kAgentChangePause = std::chrono::milliseconds(100);
constexpr Duration kAgentChangeSpread = std::chrono::milliseconds(400);
constexpr Duration kReadyPoll = std::chrono::milliseconds(100);
/// Between the platform's list and the first heartbeats of the agents that it names.
constexpr Duration kFirstHeartbeats = std::chrono::milliseconds(500);
/// Entries of each availability zone that watch the table in the store; the others learn it from them.
constexpr std::size_t kWatchersOfZone = 2;

TransportSettings transportSettings(const EntrySettings &settings)
{
    TransportSettings transport;
    transport.fleetKey = settings.fleet.fleetKey;
    // Connections come from the number on which the entry listens, so that networks and relays see whose they are.
    if (settings.peerListen.ip() != kAnyAddress) {
        transport.sourceAddress = settings.peerListen.ip();
    }
    return transport;
}

HttpServerSettings serverSettings(const EntrySettings &settings)
{
    HttpServerSettings server;
    server.certificateFile = settings.tlsCertificate;
    server.privateKeyFile = settings.tlsKey;
    return server;
}

MembershipSettings membershipSettings(const EntrySettings &settings)
{
    MembershipSettings membership;
    membership.suspectAfter = settings.deadAfter;
    membership.deathRule = DeathRule::Unlisted;
    return membership;
}

std::string advertised(const EntrySettings &settings)
{
    return settings.advertise == SocketAddress() ? settings.peerListen.toString() : settings.advertise.toString();
}

}

Entry::Entry(EntrySettings settings)
    : m_settings(std::move(settings))
    , m_workers(m_settings.process.workers)
    , m_timers(m_workers)
    , m_incarnation(m_random.freshName())
    , m_address(advertised(m_settings))
    , m_clients(m_workers, transportSettings(m_settings))
    , m_peerServer(m_workers, transportSettings(m_settings))
    , m_store(m_workers, m_settings.fleet.platform.toString())
    , m_listStore(m_store, m_listMonitor)
    , m_listTimers(m_timers, m_listMonitor)
    , m_listed(m_listStore, m_listTimers)
    , m_membership(m_workers, m_timers.now(), membershipSettings(m_settings))
    , m_peers(m_clients, m_timers, m_membership, m_membershipMonitor, selfMember())
    , m_table(m_store, m_timers, m_workers, m_random, m_peers)
    , m_gate(m_timers, m_random, m_settings.fleet.zone, m_settings.fleet.region)
    , m_links(m_clients, m_timers, m_gate)
    , m_agents(
          m_clients, m_timers,
          [this] {
              return agentAddresses();
          },
          [this](const std::string &life) {
              return isAgentGone(life);
          })
    , m_entries(m_membership, m_membershipMonitor, m_timers)
    , m_homeStack(HomeStack::Ports{m_store, m_timers, m_workers, m_random, m_agents, m_entries, *this}, selfOwner(),
                  static_cast<std::uint32_t>(m_settings.ledgerShards))
    , m_homeService(m_homeStack.home(), m_homeStack.monitor(), m_timers, m_workers)
    , m_homes(m_homeService, m_clients, m_timers, m_membership, m_membershipMonitor, m_address, m_settings.fleet.region)
    , m_journal(m_timers)
    , m_door(SessionServices{m_timers, m_random, m_clients, m_agents, m_homes, m_gate, m_journal}, m_table, m_counts)
    , m_server(m_workers, serverSettings(m_settings),
               [this](HttpExchange &exchange) {
                   return m_door.handle(exchange);
               })
    , m_admin(m_workers, m_metrics)
{
}

Entry::~Entry()
{
    m_server.close();
    m_peerServer.close();
    m_workers.stop();
}

absl::Status Entry::start()
{
    followTable();
    followMembership();
    followList();
    followAgents();
    m_homeService.serve(m_peerServer);
    m_peers.serve(m_peerServer, m_table);
    serveAdmin();
    m_workers.start();
    if (const absl::Status status = m_peerServer.listen(m_settings.peerListen.ip(), m_settings.peerListen.port());
        !status.ok()) {
        return status;
    }
    if (const absl::Status status = m_admin.listen(m_settings.adminListen.ip(), m_settings.adminListen.port());
        !status.ok()) {
        return status;
    }
    m_gate.start();
    m_homeStack.start();
    m_peers.start();
    m_table.start();
    m_listMonitor.run([this] {
        m_listed.start();
    });
    const absl::Status status = m_server.listen(m_settings.listen.ip(), m_settings.listen.port());
    if (status.ok()) {
        becomeReady();
        kLog.info("serving", {field("incarnation", m_incarnation.value()), field("peer_address", m_address)});
    }
    return status;
}

WorkerPool &Entry::workers()
{
    return m_workers;
}

std::uint16_t Entry::port() const
{
    return m_server.port();
}

// An entry that takes callers before it has the table knows none of their keys and refuses them all. So the balancer
// is told "ready" only once the table and the list of instances are there and the agents have had time to report.
void Entry::becomeReady()
{
    if (m_isLeaving) {
        return;
    }
    const bool hasList = m_listMonitor.run([this] {
        return !m_listed.present().empty();
    });
    if (hasList && m_table.current()->revision() > 0) {
        m_timers.after(kFirstHeartbeats, [this] {
            m_admin.setReady(!m_isLeaving);
        });
        return;
    }
    m_timers.after(kReadyPoll, [this] {
        becomeReady();
    });
}

// In order: the balancer and the peers learn that this entry leaves, and stop sending; requests in progress end; key
// shards and portions go back. Until the balancer has had its notice everything that still comes is served: a refusal
// then would reach a caller who did nothing wrong. Only at the end does the process go, so that no answer is cut off
// and nothing stays withheld.
void Entry::drain(std::function<void()> callback)
{
    kLog.info("leaving", {field("requests_in_progress", m_server.requestsInProgress())});
    m_drainDeadline = m_timers.now() + m_settings.drainTimeout;
    m_isLeaving = true;
    m_admin.setReady(false);
    m_peers.setLeaving();
    m_timers.after(m_settings.drainNotice, [this, callback = std::move(callback)]() mutable {
        m_server.drain();
        waitForRequests(std::move(callback));
    });
}

void Entry::waitForRequests(std::function<void()> callback)
{
    const bool isPatient = m_timers.now() < m_drainDeadline;
    if (m_server.requestsInProgress() > 0 && isPatient) {
        m_timers.after(kDrainPoll, [this, callback = std::move(callback)]() mutable {
            waitForRequests(std::move(callback));
        });
        return;
    }
    m_door.setDraining();
    handOver(std::move(callback));
}

// Requests of other entries may still be open at this home; `stop` waits for them. The deadline ends the wait.
void Entry::handOver(std::function<void()> callback)
{
    const auto isDone = std::make_shared<std::atomic<bool>>(false);
    const auto finish = [this, isDone, callback = std::move(callback)](bool isInTime) {
        if (isDone->exchange(true)) {
            return;
        }
        kLog.info("left", {field("in_time", isInTime)});
        callback();
    };
    m_timers.after(std::max(m_drainDeadline - m_timers.now(), Duration::zero()), [finish] {
        finish(false);
    });
    m_homeStack.stop([finish] {
        finish(true);
    });
}

void Entry::setDrainOrdered(std::function<void()> callback)
{
    m_onDrainOrdered = std::move(callback);
}

void Entry::serveAdmin()
{
    constexpr char kStories[] = "/requests/";
    m_admin.handle("/status", [this](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        HttpResponse response{200, HttpHeaders{{"Content-Type", "application/json"}}, statusJson()};
        (void)co_await exchange.respond(std::move(response));
    });
    m_admin.handle(kStories, [this](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        (void)co_await exchange.respond(requestStory(exchange.request().target.substr(sizeof kStories - 1)));
    });
    m_admin.handle("/drain", [this](HttpExchange &exchange) {
        return drainOnOrder(exchange);
    });
    m_metrics.beforeCollection([this] {
        updateMetrics();
    });
}

boost::asio::awaitable<void> Entry::drainOnOrder(HttpExchange &exchange)
{
    if (exchange.request().method != "POST") {
        const absl::Status status = makeFailure(FailureCode::InvalidRequest, "a drain is ordered by POST");
        (void)co_await exchange.respond(errorResponse(status, std::string()));
        co_return;
    }
    HttpResponse response{202, HttpHeaders{{"Content-Type", "application/json"}}, R"({"state":"leaving"})"};
    (void)co_await exchange.respond(std::move(response));
    if (m_onDrainOrdered) {
        m_onDrainOrdered();
    }
}

void Entry::updateMetrics()
{
    m_metrics.gauge("radishswitch_requests_in_progress", "Requests whose answer is not finished.")
        .set(m_server.requestsInProgress());
    m_metrics.gauge("radishswitch_table_revision", "Revision of the table in force.")
        .set(static_cast<double>(m_table.current()->revision()));
    m_metrics.gauge("radishswitch_requests_answered", "Requests answered since the start.")
        .set(static_cast<double>(m_counts.answered()));
    for (const auto &[cause, n] : m_counts.refusals()) {
        m_metrics
            .gauge("radishswitch_requests_refused", "Requests refused since the start, by cause.", {{"cause", cause}})
            .set(static_cast<double>(n));
    }
    for (const PoolStanding &standing : m_gate.standings()) {
        m_metrics.gauge("radishswitch_queued", "Requests that wait for a pool.", {{"pool", standing.pool.value()}})
            .set(static_cast<double>(standing.queued));
    }
}

std::string Entry::statusJson()
{
    const HomeStack::Holdings holdings = m_homeStack.holdings();
    nlohmann::json queues = nlohmann::json::object();
    nlohmann::json endpoints = nlohmann::json::object();
    for (const PoolStanding &standing : m_gate.standings()) {
        queues[standing.pool.value()] = standing.queued;
        endpoints[standing.pool.value()] = standing.eligibleEndpoints;
    }
    return nlohmann::json{{"role", "entry"},
                          {"incarnation", m_incarnation.value()},
                          {"address", m_address},
                          {"region", m_settings.fleet.region},
                          {"zone", m_settings.fleet.zone},
                          {"state", m_isLeaving ? "leaving" : "ready"},
                          {"table_revision", m_table.current()->revision()},
                          {"in_progress", m_server.requestsInProgress()},
                          {"open_requests", holdings.openRequests},
                          {"open_reservations", holdings.openReservations},
                          {"answered", m_counts.answered()},
                          {"refusals", m_counts.refusals()},
                          {"queues", queues},
                          {"eligible_endpoints", endpoints}}
        .dump();
}

HttpResponse Entry::requestStory(const std::string &requestId)
{
    const std::optional<RequestStory> story = m_journal.find(RequestId(requestId));
    if (!story) {
        return errorResponse(makeFailure(FailureCode::RunUnknown, "this entry knows no such request"), requestId);
    }
    nlohmann::json steps = nlohmann::json::array();
    for (const RequestStep &step : story->steps) {
        steps.push_back({{"at_ms", step.wallClockMilliseconds}, {"text", step.text}});
    }
    const nlohmann::json json{{"request_id", requestId},
                              {"budget", story->budget.toString()},
                              {"pool", story->pool.value()},
                              {"result", story->result.empty() ? "in_progress" : story->result},
                              {"steps", steps}};
    return HttpResponse{200, HttpHeaders{{"Content-Type", "application/json"}}, json.dump()};
}

HolderState Entry::stateOf(const IncarnationId &holder) const
{
    Monitor &monitor = const_cast<Monitor &>(m_membershipMonitor);
    return monitor.run([&] {
        for (const EntryMember &member : m_membership.liveEntries(std::string())) {
            if (member.incarnation == holder) {
                return HolderState::Alive;
            }
        }
        return m_membership.isDead(holder, m_timers.now()) ? HolderState::Dead : HolderState::Missing;
    });
}

std::vector<std::uint32_t> Entry::homeShards() const
{
    Monitor &monitor = const_cast<Monitor &>(m_membershipMonitor);
    return monitor.run([&] {
        std::vector<std::uint32_t> shards;
        for (std::uint32_t n = 0; n < static_cast<std::uint32_t>(m_settings.ledgerShards); ++n) {
            const std::optional<EntryMember> home = m_membership.homeOf(n, std::string());
            if (home && home->incarnation == m_incarnation) {
                shards.push_back(n);
            }
        }
        return shards;
    });
}

EntryMember Entry::selfMember() const
{
    EntryMember member;
    member.incarnation = m_incarnation;
    member.address = m_address;
    member.zone = m_settings.fleet.zone;
    member.region = m_settings.fleet.region;
    return member;
}

KeyOwner Entry::selfOwner() const
{
    KeyOwner owner;
    owner.incarnation = m_incarnation;
    owner.address = m_address;
    owner.region = m_settings.fleet.region;
    return owner;
}

void Entry::followList()
{
    m_listed.subscribe([this](const std::vector<PlatformInstance> &present) {
        m_peers.setListed(present);
        applySubset(present);
        m_links.setListed(present);
    });
}

// Links to every agent from every entry would cost 410 x 1,300 heartbeats at full size; each entry keeps a subset of
// each pool, such that all entries together cover each endpoint about equally often.
void Entry::applySubset(const std::vector<PlatformInstance> &present)
{
    std::map<std::string, std::vector<EndpointId>> byPool;
    for (const PlatformInstance &instance : present) {
        if (instance.role == InstanceRole::Agent) {
            byPool[instance.pool].push_back(EndpointId(instance.name));
        }
    }
    std::set<EndpointId> subset;
    m_membershipMonitor.run([&] {
        for (const auto &[pool, endpoints] : byPool) {
            const auto size = static_cast<std::size_t>(m_settings.agentSubset);
            const auto chosen = m_membership.subsetOf(endpoints, m_incarnation, size);
            subset.insert(chosen.begin(), chosen.end());
        }
    });
    m_links.setSubset(std::move(subset));
}

void Entry::followTable()
{
    m_table.subscribe([this](const SteeringTablePointer &table) {
        kLog.info("table in force", {field("revision", table->revision())});
        m_gate.applyTable(*table);
    });
}

void Entry::followMembership()
{
    m_membershipMonitor.run([this] {
        m_membership.subscribe([this] {
            takeMembership();
        });
    });
}

// Gathered for a moment, and spread over the entries: all of them hear of a new agent at the same time.
void Entry::followAgents()
{
    m_gate.setNewAgentCallback([this] {
        if (m_hasAgentChange.exchange(true)) {
            return;
        }
        const Duration spread(static_cast<Duration::rep>(m_random.below(kAgentChangeSpread.count())));
        m_timers.after(kAgentChangePause + spread, [this] {
            m_hasAgentChange = false;
            m_homeStack.noteAgentChange();
        });
    });
}

void Entry::takeMembership()
{
    const auto isSelf = [this](const EntryMember &member) {
        return member.incarnation == m_incarnation;
    };
    std::vector<EntryMember> live;
    m_membershipMonitor.run([&] {
        live = m_membership.liveEntries(std::string());
        const auto watchers = m_membership.watchersOfZone(m_settings.fleet.zone, kWatchersOfZone);
        m_table.setWatching(std::any_of(watchers.begin(), watchers.end(), isSelf));
    });
    const auto self = std::find_if(live.begin(), live.end(), isSelf);
    if (self != live.end()) {
        m_gate.setPlaceAmongEntries(static_cast<std::size_t>(self - live.begin()), live.size());
    }
    m_homeStack.noteMembershipChange();
}

std::vector<std::string> Entry::agentAddresses()
{
    const std::vector<std::string> lives = m_gate.agentLives();
    std::set<std::string> addresses(lives.begin(), lives.end());
    std::set<std::string> heard;
    for (const std::string &life : lives) {
        heard.insert(AgentLife::parse(life).address);
    }
    for (const std::string &address : m_listMonitor.run([this] {
             return m_listed.agentAddresses();
         })) {
        if (!heard.contains(address)) {
            addresses.insert(address);
        }
    }
    return {addresses.begin(), addresses.end()};
}

// A life is gone when the platform no longer lists its address, or a later life is heard there: what it knew of its
// runs went with it.
bool Entry::isAgentGone(const std::string &life)
{
    const AgentLife asked = AgentLife::parse(life);
    for (const std::string &known : m_gate.agentLives()) {
        const AgentLife heard = AgentLife::parse(known);
        if (heard.address == asked.address && !heard.incarnation.isEmpty() && !asked.incarnation.isEmpty()
            && heard.incarnation != asked.incarnation) {
            return true;
        }
    }
    return m_listMonitor.run([&] {
        const std::vector<PlatformInstance> &present = m_listed.present();
        return std::none_of(present.begin(), present.end(), [&asked](const PlatformInstance &instance) {
            return instance.address == asked.address;
        });
    });
}

}
