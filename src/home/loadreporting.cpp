#include "loadreporting.h"

#include "fleetparts.h"
#include "loadwire.h"

namespace RadishSwitch
{

namespace
{

/// A collector that is frozen or cut off is given up 1.5 s after it was last heard, at the latest.
TransportSettings collectorTransport(const BudgetHomeSettings &settings)
{
    TransportSettings transport = transportSettings(settings);
    transport.pingInterval = std::chrono::milliseconds(750);
    transport.pingTimeout = std::chrono::milliseconds(750);
    return transport;
}

}

LoadReporting::LoadReporting(const BudgetHomeSettings &settings, WorkerPool &workers, ObjectStore &store,
                             TimerService &timers, RandomSource &random, Metrics &metrics)
    : m_isFirstStart(settings.isFirstStart)
    , m_reader(makeEndpointReportReader(workers, settings.endpoint))
    , m_sampler(*m_reader, timers, metrics, settings.endpoint)
    , m_clients(workers, collectorTransport(settings))
    , m_homes(settings.instance, collectorDirectorySettings())
    , m_service(m_collector, timers, metrics)
    , m_peers(store, timers, random,
              [this](const LoadPeers::Peers &peers) {
                  m_publisher.setPeers(peers);
              })
    , m_publisher(
          m_clients, m_homes, timers, m_collector,
          [this] {
              return m_sampler.load();
          },
          [this] {
              m_peers.refresh();
          })
    , m_knownEndpoints(
          metrics.gauge("radishswitch_load_endpoints_known", "Endpoints of which this collector knows the load"))
    , m_subscribers(metrics.gauge("radishswitch_load_subscribers", "Gateways that this collector sends load updates"))
{
}

void LoadReporting::addHandlers(Http2MessageServer &server)
{
    server.handle(kLoadPath, [this](const MessageStreamPointer &stream) {
        m_service.serve(stream);
    });
}

void LoadReporting::start()
{
    m_sampler.start();
    m_peers.start(m_isFirstStart);
}

void LoadReporting::updateGauges()
{
    m_knownEndpoints.set(static_cast<double>(m_collector.endpointCount()));
    m_subscribers.set(static_cast<double>(m_collector.subscriberCount()));
}

}
