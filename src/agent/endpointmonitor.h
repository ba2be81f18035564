#pragma once

#include "base/taskqueue.h"
#include "base/timerservice.h"
#include "endpoint.h"
#include "loadreport.h"
#include "wire.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace RadishSwitch
{

enum class EndpointKind {
    /// Speaks the OpenAI-compatible API and reports its load.
    Engine,
    /// Any HTTP service. It counts as healthy while it answers at all.
    Service,
};

struct EndpointMonitorSettings {
    EndpointKind kind = EndpointKind::Engine;
    Duration pollInterval = std::chrono::milliseconds(250);
    /// How long one poll may take.
    Duration pollTimeout = std::chrono::seconds(1);
    /// So many polls without an answer in a row make the endpoint unhealthy; one answer makes it healthy again.
    int failuresUntilUnhealthy = 3;
    /// How many runs the endpoint takes at once, where it does not tell; zero for unknown.
    std::uint32_t capacity = 0;
    /// Models that it serves, where it does not tell.
    std::vector<std::string> models;
    /// What to ask of a plain service to see that it lives.
    std::string healthTarget = "/livez";
};

/// Watches the endpoint: its load, health and cache events.
///
/// The endpoint's own report lags. Every run goes through this agent, so its own count of runs in progress is the
/// better one; the report gives the capacity, the speed and the tokens in the queue, to which the agent adds the runs
/// that it has started since.
///
/// Thread-safe by one mutex, under which nothing else is locked.
class EndpointMonitor : public std::enable_shared_from_this<EndpointMonitor>
{
public:
    EndpointMonitor(Endpoint &endpoint, TimerService &timers, EndpointMonitorSettings settings);

    /// Begins to poll. `onChange` is called when the health changes, on no lock of the monitor.
    void start(std::function<void()> onChange);
    void stop();

    void noteRunStarted(std::int64_t reservedTokens);
    void noteRunEnded();

    wire::Load load() const;
    bool isHealthy() const;

    /// Fills in what a heartbeat tells of the endpoint, with the cache events after `cursor`, which moves on. Events
    /// that a reader was too slow for are left out; the gap in their sequence shows.
    void describe(wire::AgentHeartbeat &heartbeat, std::uint64_t &cursor) const;

private:
    void poll();
    void takeAnswer(std::int64_t startedTokensAtPoll, const absl::StatusOr<EndpointDocument> &answer);
    bool takeReport(std::int64_t startedTokensAtPoll, const EndpointDocument &document);
    void takeCacheEvents(std::vector<CacheEvent> events);
    wire::Load loadLocked() const;

    Endpoint &m_endpoint;
    TimerService &m_timers;
    const EndpointMonitorSettings m_settings;
    std::function<void()> m_onChange;
    TimerId m_timer = 0;

    mutable std::mutex m_mutex;
    LoadReport m_report;
    Instant m_reportedAt;
    std::deque<CacheEvent> m_cacheEvents;
    std::uint64_t m_lastSequence = 0;
    bool m_isPolling = false;
    bool m_isHealthy = false;
    int m_failures = 0;
    std::uint32_t m_runsInProgress = 0;
    /// All tokens reserved by runs started so far; only differences count.
    std::int64_t m_startedTokens = 0;
    std::int64_t m_startedTokensAtReport = 0;
};

}
