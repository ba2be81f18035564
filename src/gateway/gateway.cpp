#include "gateway.h"

#include "base/failure.h"
#include "budgetmetrics.h"
#include "call.h"
#include "log.h"
#include "partsettings.h"
#include "peerentry.h"
#include "streamoriginwire.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("process");

constexpr Duration kMaintenanceInterval = std::chrono::seconds(2);
/// On the fleet's first start all processes have announced themselves within this time.
constexpr Duration kFirstAnnouncementDelay = std::chrono::seconds(1);
/// A reservation at another home expires after this time, which is longer than any call.
constexpr Duration kReservationExpiry = std::chrono::seconds(20);
/// Subtracted from the drain timeout, so that portions are returned and the process ends before it would be killed.
constexpr Duration kStopReserve = std::chrono::milliseconds(400);

}

Gateway::Gateway(GatewaySettings settings)
    : m_settings(std::move(settings))
    , m_workers(1)
    , m_timers(m_workers)
    , m_adapter(makeGatewayAdapter(m_workers, storeSettings(m_settings)))
    , m_store(*m_adapter.store, m_timers, m_metrics)
    , m_gate(m_timers, m_random, m_settings.instance, m_settings.zone, gateSettings(m_settings))
    , m_ledger(m_store, m_timers, m_random, ledgerSettings(m_settings))
    , m_holder(m_ledger, m_timers, m_workers, m_random, holderSettings(m_settings, m_random))
    , m_homes(m_settings.instance)
    , m_ownBudgets(m_ledger, m_holder, m_timers,
                   [this] {
                       return isStoreUnreachable();
                   })
    , m_clients(m_workers, transportSettings(m_settings))
    , m_budgetPeers(m_clients, m_homes, m_timers, kReservationExpiry)
    , m_watchPeers(m_clients, m_homes, m_timers)
    , m_probedStore(m_store, m_timers, m_random)
    , m_relayedStore(m_probedStore, m_homes, m_watchPeers, m_timers, relayTimeout(m_settings))
    , m_budgets(m_homes, m_ownBudgets, m_budgetPeers, m_timers, sharedBudgetsSettings(m_settings))
    , m_budgetService(m_ownBudgets, m_timers)
    , m_announcement(m_store, m_timers, m_random, m_settings.instance,
                     writePeerEntry(peerOf(m_settings, PeerKind::Gateway)))
    , m_peerRegistry(m_relayedStore, m_timers, m_random,
                     [this](const std::map<std::string, FleetPeer> &peers) {
                         handlePeers(peers);
                     })
    , m_connections(m_workers, connectionSettings(m_settings, m_traffic))
    , m_callMetrics(m_metrics)
    , m_link(shedderSettings(m_settings))
    , m_intakeBudget(intakeBudgetSettings(m_settings), m_traffic, m_random)
    , m_poison(m_workers, m_store, m_connections, m_timers, m_random, m_settings.instance,
               [this](const EndpointIncarnation &incarnation, std::optional<std::int64_t> nextStartMilliseconds) {
                   m_gate.noteCrashed(incarnation, nextStartMilliseconds);
                   m_connections.closeIdle(incarnation.endpoint);
               })
    , m_limits(m_store, m_timers, m_random, m_gate)
    , m_writers(m_workers, m_timers, m_connections,
                [this](const EndpointIncarnation &incarnation, std::optional<std::int64_t> nextStartMilliseconds) {
                    m_gate.noteCrashed(incarnation, nextStartMilliseconds);
                })
    , m_versionReports(m_store, m_timers, m_random, m_gate.registry().versions(), versionReportInputs())
    , m_originHolders(m_settings.instance)
    , m_originPeers(m_clients, m_originHolders, m_timers)
    , m_streamOrigins(m_originHolders, m_originPeers, m_gate.registry().versions(), m_timers,
                      [this] {
                          return announcementAge();
                      })
    , m_originService(
          [this](const StreamOriginRecord &record) {
              m_streamOrigins.table().note(record, m_timers.now());
          },
          [this](const StreamOriginQuery &query) {
              return m_streamOrigins.answer(query);
          })
    , m_answers(answerMemorySettings(m_settings))
    , m_services{*m_adapter.protocol,
                 m_timers,
                 m_random,
                 m_gate,
                 m_budgets,
                 m_connections,
                 m_retryBudgets,
                 retrySettings(m_settings),
                 callTimes(m_settings),
                 m_callMetrics,
                 m_sampler,
                 m_failureSampler,
                 m_link,
                 m_poison,
                 m_limits,
                 m_streamOrigins,
                 m_writers,
                 m_answers}
    , m_intake(m_workers, m_timers, *m_adapter.protocol, m_callMetrics, m_sampler, m_link, m_intakeBudget,
               shedderSettings(m_settings),
               [this] {
                   updateReady();
               })
    , m_gatewayLoads(m_settings.instance, m_settings.zone)
    , m_collectors(m_settings.instance, collectorDirectorySettings())
    , m_loadSubscription(
          m_clients, m_collectors, m_timers, m_metrics, m_gate.loads(), m_gatewayLoads,
          loadSubscriptionSettings(m_settings),
          [this] {
              return m_intake.reportedFullness();
          },
          [this] {
              return m_isStopping || m_intake.isDiverting();
          })
    , m_configuration(*m_adapter.catalogue,
                      [this](const ServingTablePointer &table) {
                          applyConfiguration(table);
                      })
    , m_endpoints(*m_adapter.catalogue, m_gate, m_timers,
                  [this](const EndpointId &endpoint) {
                      m_connections.closeIdle(endpoint);
                  })
    , m_cordons(*m_adapter.catalogue, m_gate)
    , m_configurationFollower(m_relayedStore, m_timers, m_random, m_adapter.catalogue->configurationPrefix(),
                              m_configuration, followerSettings(m_settings))
    , m_endpointFollower(m_relayedStore, m_timers, m_random, m_adapter.catalogue->endpointPrefix(), m_endpoints,
                         followerSettings(m_settings))
    , m_cordonFollower(m_relayedStore, m_timers, m_random, m_adapter.catalogue->cordonPrefix(), m_cordons,
                       followerSettings(m_settings))
    , m_reportFollower(m_relayedStore, m_timers, m_random, kReportPrefix, m_reportRouter,
                       reportFollowerSettings(m_settings))
    , m_peerServer(m_workers, transportSettings(m_settings))
    , m_server(m_workers, callerServerSettings(m_settings, m_intake, m_traffic),
               [this](HttpExchange &exchange) {
                   return serve(exchange);
               })
    , m_admin(m_workers, m_metrics)
    , m_metricsServer(m_workers, m_metrics)
{
}

Gateway::~Gateway()
{
    m_workers.stop();
}

absl::Status Gateway::start()
{
    kLog.info("starting",
              {field("instance", m_settings.instance), field("zone", m_settings.zone),
               field("listen", m_settings.listen.toString()), field("store", m_settings.platform.toString())});
    m_peerServer.handle(kWatchPath, [this](const MessageStreamPointer &stream) {
        m_watchPeers.serve(stream);
    });
    m_peerServer.handle(kBudgetPath, [this](const MessageStreamPointer &stream) {
        m_budgetService.serve(stream);
    });
    m_peerServer.handle(kStreamOriginPath, [this](const MessageStreamPointer &stream) {
        m_originService.serve(stream);
    });
    absl::Status status = m_admin.listen(m_settings.adminListen.ip(), m_settings.adminListen.port());
    if (status.ok() && m_settings.metricsListen.port() != 0) {
        status = m_metricsServer.listen(m_settings.metricsListen.ip(), m_settings.metricsListen.port());
    }
    if (status.ok()) {
        status = m_peerServer.listen(m_settings.peerListen.ip(), m_settings.peerListen.port());
    }
    if (status.ok()) {
        status = m_server.bind(m_settings.listen.ip(), m_settings.listen.port());
    }
    if (!status.ok()) {
        return status;
    }
    m_workers.post([this] {
        startOnWorker();
    });
    m_workers.start();
    return absl::OkStatus();
}

void Gateway::startOnWorker()
{
    m_gate.setIncarnationEndedCallback([this](const EndpointId &endpoint) {
        kLog.info("endpoint has ended, its next incarnation awaits an entry", {field("endpoint", endpoint.value())});
        m_connections.closeIdle(endpoint);
    });
    m_homes.setOwnPeer(peerOf(m_settings, PeerKind::Gateway));
    m_collectors.setOwnPeer(peerOf(m_settings, PeerKind::Gateway));
    m_originHolders.setOwnPeer(peerOf(m_settings, PeerKind::Gateway));
    followVersions();
    if (m_settings.rotatesByLoad) {
        startRotation();
    }
    if (m_settings.watchesAlone) {
        m_homes.watchAlone();
    }
    m_timers.after(m_settings.maximumAcceptDelay, [this] {
        m_server.startAccepting();
    });
    m_metrics.beforeCollection([this] {
        updateGauges();
    });
    m_relayedStore.setReadPathCallback([](bool isReadingThroughHome) {
        kLog.warning(
            isReadingThroughHome ? "store unreachable, reading it through a home" : "store read directly again", {});
    });
    follow(m_configurationFollower, m_adapter.catalogue->configurationPrefix());
    follow(m_endpointFollower, m_adapter.catalogue->endpointPrefix());
    if (followsCordons()) {
        follow(m_cordonFollower, m_adapter.catalogue->cordonPrefix());
    }
    m_reportRouter.add(kCrashPrefix, m_poison.reports());
    m_reportRouter.add(kPartBarPrefix, m_poison.partBars());
    m_reportRouter.add(kLimitPrefix, m_limits);
    m_reportRouter.add(kVersionReportPrefix, m_versionReports);
    follow(m_reportFollower, kReportPrefix);
    m_announcement.start(m_settings.isFirstStart);
    followPeers();
    m_timers.every(kMaintenanceInterval, [this] {
        runMaintenance();
    });
    if (m_settings.receivesLoadNews) {
        m_gate.setLoadSource(&m_gate.loads());
        m_loadSubscription.start();
    }
}

// Origins of earlier streams are published as well: until now nobody needed them.
void Gateway::followVersions()
{
    m_gate.registry().versions().awaitAnnouncements();
    m_gate.registry().versions().setSeveralCallback([this](const PoolId &pool) {
        m_timers.after(Duration::zero(), [this, pool] {
            m_streamOrigins.publish(pool);
            m_versionReports.announce();
        });
    });
}

VersionReports::Inputs Gateway::versionReportInputs()
{
    VersionReports::Inputs inputs;
    inputs.isFirstStart = m_settings.isFirstStart;
    inputs.isResumable = [this](const PoolId &pool) {
        return m_configuration.table() && m_configuration.table()->hasResumableStreams(pool);
    };
    inputs.confirmedAt = [this] {
        return m_reportFollower.confirmedAt();
    };
    inputs.previouslyConfirmedAt = [this] {
        return m_reportFollower.previouslyConfirmedAt();
    };
    return inputs;
}

Duration Gateway::announcementAge() const
{
    const Instant confirmedAt = m_reportFollower.confirmedAt();
    return confirmedAt == Instant::min() ? Duration::max() : m_timers.nowWithSuspension() - confirmedAt;
}

// On the fleet's first start all processes announce themselves at once. A gateway that listed its peers earlier would
// find few of them, and would watch the store itself instead of through a peer.
void Gateway::followPeers()
{
    m_timers.after(m_settings.isFirstStart ? kFirstAnnouncementDelay : Duration::zero(), [this] {
        follow(m_peerRegistry.follower(), kPeersPrefix);
    });
}

// On a platform without cordons the watch would only cost calls to the store.
bool Gateway::followsCordons() const
{
    return m_settings.cordonBound > Duration::zero();
}

// A gateway that does not know the cordons yet would send calls into a closed zone.
bool Gateway::isServing() const
{
    const bool knowsCordons = !followsCordons() || m_gate.registry().cordons().isKnown();
    return m_configuration.table() && m_gate.registry().isKnown() && m_peerRegistry.isKnown() && knowsCordons;
}

void Gateway::handlePeers(const std::map<std::string, FleetPeer> &peers)
{
    m_homes.setPeers(m_settings.ignoresHomes ? gatewaysAmong(peers) : peers);
    m_collectors.setPeers(peers);
    m_originHolders.setPeers(peers);
    std::map<std::string, double> weights;
    std::set<std::string> gateways;
    for (const auto &[name, peer] : gatewaysAmong(peers)) {
        weights[name] = peer.weight;
        gateways.insert(name);
    }
    m_gatewayLoads.setListed(std::move(gateways));
    m_gate.allowances().setGateways(weights);
    updateReady();
}

bool Gateway::isStoreUnreachable() const
{
    return !m_configurationFollower.isStoreReachable() || m_relayedStore.isReadingThroughHome();
}

void Gateway::runMaintenance()
{
    m_connections.closeExpired();
    m_poison.reports().removeExpired();
    m_poison.partBars().removeExpired();
    m_limits.removeExpired();
    m_versionReports.removeExpired();
    m_gate.noteRegistryChanged();
    logDroppedLines();
    updateReady();
    if (Log::isEnabled(LogLevel::Debug)) {
        logPortions();
    }
}

void Gateway::logDroppedLines()
{
    if (const int n = m_failureSampler.takeDroppedCount(); n > 0) {
        kLog.warning("log lines about failed calls dropped", {field("lines", n)});
    }
}

void Gateway::logPortions() const
{
    for (const HeldBudgetStatus &it : m_holder.statuses()) {
        kLog.debug("portion",
                   {field("budget", it.budget.toString()), field("available", it.available),
                    field("waiting", it.waiting), field("tokens_per_second", it.tokensPerSecond),
                    field("portions", it.portions.size())});
    }
}

void Gateway::follow(ObjectFollower &follower, const std::string &prefix)
{
    WatchLog &log = m_watchPeers.log(prefix);
    follower.setProgressCallback([this, &log](const ObjectFollower::Progress &progress) {
        if (!progress.isStoreReachable) {
            log.noteStoreLost();
        } else if (progress.wasListed) {
            log.noteListed(progress.changes);
            updateReady();
            m_gate.noteRegistryChanged();
        } else {
            log.noteChanges(progress.changes);
        }
    });
    follower.setReachabilityCallback([this, prefix](bool isStoreReachable) {
        if (isStoreReachable) {
            m_homes.forgetFailures();
            m_gate.registry().noteStoreBack(m_timers.now());
        }
        kLog.warning(isStoreReachable ? "store reached again" : "store lost", {field("prefix", prefix)});
    });
    follower.start();
}

void Gateway::applyConfiguration(const ServingTablePointer &table)
{
    const CallerLimits &limits = table->configuration().limits;
    HttpServerLimits serverLimits;
    serverLimits.maximumHeaderBytes = limits.maximumHeaderBytes;
    serverLimits.maximumBodyBytes = limits.maximumBodyBytes;
    serverLimits.readTimeout = limits.headerTimeout;
    serverLimits.idleTimeout = limits.idleTimeout;
    m_server.setLimits(serverLimits);
    m_gate.allowances().setPools(table->configuration().pools);
    m_intake.setTable(table);
    updateReady();
}

void Gateway::updateReady()
{
    if (isServing()) {
        m_server.startAccepting();
        m_versionReports.establish();
    }
    m_admin.setReady(isServing() && !m_isStopping && !m_intake.isDiverting());
}

void Gateway::startRotation()
{
    RotationInputs inputs;
    inputs.fullness = [this](Instant now) {
        return m_intake.fullness(now);
    };
    inputs.neighbours = [this](Instant now) {
        return m_gatewayLoads.neighbours(now);
    };
    m_intake.setRotation(std::make_unique<GatewayRotation>(m_timers, m_random, m_metrics, rotationSettings(m_settings),
                                                           std::move(inputs), [this] {
                                                               updateReady();
                                                           }));
}

boost::asio::awaitable<void> Gateway::serve(HttpExchange &exchange)
{
    // After a power loss all gateways start at once. Gateways that do not know their peers yet would all take portions
    // of every budget at the same time, which takes 1,600 calls to the store within six seconds.
    Call call(m_services, exchange, isServing() ? m_configuration.table() : nullptr);
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
        releaseBudgets();
        m_timers.after(m_settings.drainNotice, [this] {
            stopAccepting();
        });
        m_timers.after(m_settings.drainTimeout - kStopReserve, [this] {
            finishStop();
        });
    });
}

// Returns portions at the start of the drain instead of after the last call. Seconds later the gateway may be cut off
// from the store, and the portions that it holds would be lost to their budgets. Calls that still arrive reserve their
// tokens at the next homes.
void Gateway::releaseBudgets()
{
    m_homes.leave();
    if (isStoreUnreachable()) {
        handOverPortions();
    }
    m_holder.stop([this] {
        m_arePortionsReturned = true;
        if (m_isStopComplete) {
            completeDrain();
        }
    });
}

// A stream that started before the drain may keep its connection open, and the next call may arrive on that connection
// at any time until the end of the drain. The intake refuses such calls.
void Gateway::stopAccepting()
{
    m_intake.stop();
    m_server.drain([this] {
        finishStop();
    });
}

void Gateway::finishStop()
{
    if (std::exchange(m_isStopComplete, true)) {
        return;
    }
    if (isStoreUnreachable()) {
        handOverPortions();
    }
    if (m_arePortionsReturned) {
        return completeDrain();
    }
    // The gateway waits for the answer of the store for at most half of the reserve.
    m_timers.after(kStopReserve / 2, [this] {
        completeDrain();
    });
}

void Gateway::completeDrain()
{
    if (const auto callback = std::exchange(m_onDrained, nullptr)) {
        kLog.info("stopped", {field("portions_returned", m_arePortionsReturned)});
        callback();
    }
}

// Hands the portions to peers while the store is unreachable. A portion held by a process that ends without reaching
// the store is lost to its budget for good, whereas a reachable peer can return it later. Two peers are told, in case
// one of them stops as well; the portion is returned only once.
void Gateway::handOverPortions()
{
    constexpr std::size_t kRecipients = 2;
    std::vector<std::string> peers = m_homes.reachablePeers(m_timers.now());
    peers.resize(std::min(peers.size(), kRecipients));
    for (const HeldBudgetStatus &status : m_holder.statuses()) {
        for (const HeldBudgetStatus::Portion &portion : status.portions) {
            for (const std::string &peer : peers) {
                m_budgetPeers.handOver(peer, status.budget, portion.portion, portion.spent + portion.reserved);
            }
        }
    }
}

std::uint16_t Gateway::port() const
{
    return m_server.port();
}

std::uint16_t Gateway::adminPort() const
{
    return m_admin.port();
}

void Gateway::updateGauges()
{
    countBudgets(m_holder, m_metrics);
    if (m_settings.receivesLoadNews) {
        m_loadSubscription.updateGauges();
    }
    m_metrics.gauge("radishswitch_store_reached", "Whether the store answered last")
        .set(m_configurationFollower.isStoreReachable() ? 1 : 0);
    m_metrics.gauge("radishswitch_calls_placed", "Calls under way at endpoints")
        .set(static_cast<double>(m_gate.placed()));
    m_metrics.gauge("radishswitch_calls_waiting", "Calls that wait for an endpoint")
        .set(static_cast<double>(m_gate.waiting()));
    m_metrics.gauge("radishswitch_endpoints", "Endpoints known").set(static_cast<double>(m_gate.registry().size()));
    m_metrics.gauge("radishswitch_zones_closed", "Zones that get no new calls by operators' orders")
        .set(static_cast<double>(m_gate.registry().cordons().closedZones().size()));
    m_metrics.gauge("radishswitch_endpoints_cold", "Endpoints that are taken for cold")
        .set(static_cast<double>(m_gate.registry().countCold(m_timers.now())));
    m_metrics.gauge("radishswitch_requests_barred", "Requests that are refused since endpoints crashed under them")
        .set(static_cast<double>(m_poison.barredCount()));
    m_metrics.gauge("radishswitch_prompt_parts_barred", "Parts of prompts that are refused since endpoints crashed")
        .set(static_cast<double>(m_poison.barredPartCount()));
    m_metrics.gauge("radishswitch_endpoints_limited", "Endpoints that name a limit")
        .set(static_cast<double>(m_gate.registry().countLimited(m_timers.now())));
    m_metrics.gauge("radishswitch_endpoints_awaiting_entry", "Endpoints that have started again, without an entry yet")
        .set(static_cast<double>(m_gate.registry().countAwaitingEntry()));
    m_metrics.gauge("radishswitch_endpoints_leaving", "Endpoints that leave, by the list or by their own word")
        .set(static_cast<double>(m_gate.registry().countLeaving(m_timers.now())));
    m_metrics.gauge("radishswitch_endpoints_backed_off", "Endpoints that asked to be sent nothing for a time")
        .set(static_cast<double>(m_gate.registry().countBackedOff(m_timers.now())));
    m_metrics.gauge("radishswitch_stream_origins", "Recent streams of which it is known at which version they began")
        .set(static_cast<double>(m_streamOrigins.table().size()));
    m_metrics.gauge("radishswitch_idle_connections", "Idle connections to endpoints")
        .set(static_cast<double>(m_connections.idleCount()));
    m_metrics.gauge("radishswitch_configuration_version", "Version of the configuration in force")
        .set(m_configuration.table() ? static_cast<double>(m_configuration.table()->configuration().version) : 0);
}

}
