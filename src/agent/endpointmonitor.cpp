#include "endpointmonitor.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// As many as an entry may miss between two heartbeats and still learn.
constexpr std::size_t kMaximumCacheEvents = 1024;
/// Bounds the size of one heartbeat; the rest goes with the next one.
constexpr int kMaximumCacheEventsPerHeartbeat = 128;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

wire::CacheEvent toWire(const CacheEvent &event)
{
    wire::CacheEvent message;
    message.set_sequence(event.sequence);
    message.set_stored(event.isStored);
    message.mutable_prefix_hashes()->Add(event.prefixHashes.begin(), event.prefixHashes.end());
    return message;
}

}

EndpointMonitor::EndpointMonitor(Endpoint &endpoint, TimerService &timers, EndpointMonitorSettings settings)
    : m_endpoint(endpoint)
    , m_timers(timers)
    , m_settings(std::move(settings))
    , m_reportedAt(timers.now())
{
}

void EndpointMonitor::start(std::function<void()> onChange)
{
    m_onChange = std::move(onChange);
    m_timer = m_timers.every(m_settings.pollInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->poll();
        }
    });
    poll();
}

void EndpointMonitor::stop()
{
    m_timers.cancel(m_timer);
}

void EndpointMonitor::noteRunStarted(std::int64_t reservedTokens)
{
    const std::lock_guard lock(m_mutex);
    ++m_runsInProgress;
    m_startedTokens += reservedTokens;
}

void EndpointMonitor::noteRunEnded()
{
    const std::lock_guard lock(m_mutex);
    --m_runsInProgress;
}

wire::Load EndpointMonitor::load() const
{
    const std::lock_guard lock(m_mutex);
    return loadLocked();
}

bool EndpointMonitor::isHealthy() const
{
    const std::lock_guard lock(m_mutex);
    return m_isHealthy;
}

void EndpointMonitor::describe(wire::AgentHeartbeat &heartbeat, std::uint64_t &cursor) const
{
    const std::lock_guard lock(m_mutex);
    *heartbeat.mutable_load() = loadLocked();
    heartbeat.set_healthy(m_isHealthy);
    heartbeat.set_model_version(m_report.version);
    heartbeat.set_software_version(m_report.softwareVersion);
    const std::vector<std::string> &models = m_report.models.empty() ? m_settings.models : m_report.models;
    heartbeat.mutable_models()->Add(models.begin(), models.end());
    heartbeat.mutable_adapters()->Add(m_report.adapters.begin(), m_report.adapters.end());
    for (const CacheEvent &event : m_cacheEvents) {
        if (event.sequence > cursor && heartbeat.cache_events_size() < kMaximumCacheEventsPerHeartbeat) {
            *heartbeat.add_cache_events() = toWire(event);
            cursor = event.sequence;
        }
    }
}

wire::Load EndpointMonitor::loadLocked() const
{
    const std::uint32_t capacity = m_report.capacity > 0 ? m_report.capacity : m_settings.capacity;
    const std::uint32_t running = capacity > 0 ? std::min(m_runsInProgress, capacity) : m_runsInProgress;
    wire::Load load;
    load.set_running(running);
    load.set_queued(m_runsInProgress - running);
    load.set_capacity(capacity);
    load.set_queued_tokens(m_report.queuedTokens + m_startedTokens - m_startedTokensAtReport);
    load.set_tokens_per_second(m_report.tokensPerSecond);
    load.set_age_ms(std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - m_reportedAt).count());
    return load;
}

void EndpointMonitor::poll()
{
    EndpointQuery query;
    query.target = m_settings.healthTarget;
    std::int64_t startedTokens = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isPolling, true)) {
            return;
        }
        startedTokens = m_startedTokens;
        if (m_settings.kind == EndpointKind::Engine) {
            query.target = "/load?since=" + std::to_string(m_lastSequence);
        }
    }
    m_endpoint.fetch(std::move(query), m_settings.pollTimeout,
                     [weak = weak_from_this(), startedTokens](const auto &answer) {
                         if (const auto self = weak.lock()) {
                             self->takeAnswer(startedTokens, answer);
                         }
                     });
}

void EndpointMonitor::takeAnswer(std::int64_t startedTokensAtPoll, const absl::StatusOr<EndpointDocument> &answer)
{
    bool isChanged = false;
    {
        const std::lock_guard lock(m_mutex);
        m_isPolling = false;
        const bool isAnswered = answer.ok() && takeReport(startedTokensAtPoll, *answer);
        m_failures = isAnswered ? 0 : m_failures + 1;
        const bool isHealthy = isAnswered || (m_isHealthy && m_failures < m_settings.failuresUntilUnhealthy);
        isChanged = std::exchange(m_isHealthy, isHealthy) != isHealthy;
    }
    if (isChanged) {
        m_onChange();
    }
}

bool EndpointMonitor::takeReport(std::int64_t startedTokensAtPoll, const EndpointDocument &document)
{
    if (m_settings.kind == EndpointKind::Service) {
        m_reportedAt = m_timers.now();
        m_startedTokensAtReport = startedTokensAtPoll;
        return true;
    }
    absl::StatusOr<LoadReport> report = parseLoadReport(document.body);
    if (!isSuccess(document.head.status) || !report.ok()) {
        return false;
    }
    takeCacheEvents(std::exchange(report->cacheEvents, {}));
    m_report = *std::move(report);
    m_reportedAt = m_timers.now();
    m_startedTokensAtReport = startedTokensAtPoll;
    return true;
}

void EndpointMonitor::takeCacheEvents(std::vector<CacheEvent> events)
{
    for (CacheEvent &event : events) {
        if (event.sequence <= m_lastSequence) {
            continue;
        }
        m_lastSequence = event.sequence;
        m_cacheEvents.push_back(std::move(event));
    }
    while (m_cacheEvents.size() > kMaximumCacheEvents) {
        m_cacheEvents.pop_front();
    }
}

}
