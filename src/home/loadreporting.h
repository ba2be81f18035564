#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "budgethomesettings.h"
#include "endpointsampler.h"
#include "http2transport.h"
#include "loadpeers.h"
#include "loadpublisher.h"
#include "loadservice.h"
#include "serving/loadcollector.h"

#include <memory>

namespace RadishSwitch
{

/// What a home does about the load of endpoints: it reads the reports of the endpoint beside it, sends its load to the
/// collectors, and is a collector itself where it is ranked first.
class LoadReporting
{
public:
    LoadReporting(const BudgetHomeSettings &settings, WorkerPool &workers, ObjectStore &store, TimerService &timers,
                  RandomSource &random, Metrics &metrics);

    /// Serves the streams of path "/load". Called before the server listens.
    void addHandlers(Http2MessageServer &server);

    void start();

    void updateGauges();

private:
    const bool m_isFirstStart;
    const std::unique_ptr<EndpointReportReader> m_reader;
    EndpointSampler m_sampler;
    MessageClients m_clients;
    HomeDirectory m_homes;
    LoadCollector m_collector;
    LoadService m_service;
    LoadPeers m_peers;
    LoadPublisher m_publisher;
    Gauge &m_knownEndpoints;
    Gauge &m_subscribers;
};

}
