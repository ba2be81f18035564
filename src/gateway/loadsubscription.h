#pragma once

#include "base/lifetimetoken.h"
#include "loadwire.h"
#include "messageclientsource.h"
#include "metrics.h"
#include "serving/endpointloads.h"
#include "serving/gatewayloads.h"
#include "serving/homedirectory.h"

#include <functional>
#include <map>
#include <string>

namespace RadishSwitch
{

struct LoadSubscriptionSettings {
    /// Name and zone of this gateway.
    std::string instance;
    std::string zone;
    /// Bandwidth of its link; zero if unknown.
    double linkMbps = 0;
    /// Interval at which the gateway reports its own load.
    Duration interval = std::chrono::milliseconds(500);
    /// A collector that sends nothing readable for this long is considered lost. It sends every 500 ms.
    Duration silence = std::chrono::milliseconds(1500);
    /// How long a home is not asked after it has refused the stream: it is of a version without load updates.
    Duration refusedPause = std::chrono::seconds(10);
    /// How long a home has to be ranked before the collector in use until the gateway moves to it. It is longer than a
    /// home counts as unreachable, so that a home which is only busy keeps its gateways.
    Duration rankHold = std::chrono::seconds(4);
    /// How long the gateway doesn't move back to a home that it has lost.
    Duration lostHold = std::chrono::seconds(10);
};

/// Keeps one stream to the collector of the gateway's zone. Reports the gateway's own load on it, and takes in the load
/// updates that the collector sends.
///
/// The collector is the home that HomeDirectory ranks first. While it is silent or unreachable, the next one is used. A
/// failed home is tried again at the next report at the earliest, so that no number of failing homes causes more than
/// about two attempts per interval.
///
/// All members must be called on the gateway's worker.
class LoadSubscription
{
public:
    LoadSubscription(MessageClientSource &clients, HomeDirectory &homes, TimerService &timers, Metrics &metrics,
                     EndpointLoads &endpoints, GatewayLoads &gateways, LoadSubscriptionSettings settings,
                     std::function<double()> fullness, std::function<bool()> isDiverting);
    ~LoadSubscription();

    LoadSubscription(const LoadSubscription &) = delete;
    LoadSubscription &operator=(const LoadSubscription &) = delete;

    void start();

    /// The collector in use or being tried; empty if there is none.
    const std::string &collector() const
    {
        return m_collector;
    }

    /// Sets the gauges of the known load updates.
    void updateGauges();

private:
    struct HomeState {
        /// Not to be asked before.
        Instant pausedUntil = Instant::min();
        /// Not to be preferred to a working collector before.
        Instant heldUntil = Instant::min();
        /// When a line about what it sent, and about its loss before it had sent anything, was last logged.
        Instant unreadableLoggedAt = Instant::min();
        Instant lostLoggedAt = Instant::min();
    };

    void tick();
    std::string ownFrame() const;
    void chooseCollector();
    bool shouldMoveTo(const std::string &home, Instant now);
    void open(const std::string &home);
    void handleFrame(const std::string &frame);
    void takeIn(const wire::LoadNews &news);
    void handleRejected(const absl::Status &status);
    void updateLoads();
    void handleClosed(const MessageStream *stream, const absl::Status &status);
    void armSilenceTimer(Duration delay);
    void checkSilence();
    void lose(const absl::Status &status);
    void logLost(const absl::Status &status);

    MessageClientSource &m_clients;
    HomeDirectory &m_homes;
    TimerService &m_timers;
    Metrics &m_metrics;
    EndpointLoads &m_endpoints;
    GatewayLoads &m_gateways;
    const LoadSubscriptionSettings m_settings;
    const std::function<double()> m_fullness;
    const std::function<bool()> m_isDiverting;
    Counter *m_rejected = nullptr;
    std::map<std::string, HomeState> m_states;
    std::string m_collector;
    MessageStreamPointer m_stream;
    Instant m_openedAt = Instant::min();
    Instant m_newsAt = Instant::min();
    Instant m_endpointNewsAt = Instant::min();
    /// Of the last update of `m_endpoints`.
    Instant m_updatedAt{};
    bool m_hasNews = false;
    /// The home that is ranked before the collector in use, and since when.
    std::string m_preferred;
    Instant m_preferredSince = Instant::min();
    TimerId m_tickTimer = 0;
    TimerId m_silenceTimer = 0;
    Instant m_silenceDue = Instant::min();
    LifetimeToken m_life;
};

}
