#include "endpointconnections.h"

#include <algorithm>

namespace RadishSwitch
{

EndpointConnections::EndpointConnections(WorkerPool &workers, EndpointConnectionSettings settings)
    : m_workers(workers)
    , m_settings(settings)
{
}

EndpointConnections::ConnectionPointer EndpointConnections::takeIdle(const EndpointId &endpoint, Duration maximumIdle)
{
    const auto it = m_idle.find(endpoint);
    if (it == m_idle.end()) {
        return nullptr;
    }
    const Clock::time_point now = Clock::now();
    std::vector<Idle> &idle = it->second;
    while (!idle.empty()) {
        // The most recently used connection is the least likely to have been closed by the endpoint.
        const Idle last = idle.back();
        if (now - last.since > maximumIdle) {
            return nullptr;
        }
        idle.pop_back();
        if (now < last.until && last.connection->isReusable()) {
            return last.connection;
        }
        last.connection->close();
    }
    return nullptr;
}

EndpointConnections::ConnectionPointer EndpointConnections::create(const std::string &address)
{
    return std::make_shared<HttpConnection>(m_workers, address, m_settings.silenceLimits, m_settings.traffic);
}

void EndpointConnections::release(const EndpointId &endpoint, const ConnectionPointer &connection,
                                  std::optional<Duration> idleTimeout)
{
    const Duration kept = idleTimeout ? *idleTimeout - m_settings.idleMargin : m_settings.idleTimeout;
    const bool isUsable = connection->isKeptAlive() && !connection->hasBytesBehindAnswer();
    if (kept <= Duration::zero() || connection->isSending() || !isUsable) {
        return connection->close();
    }
    connection->clearDeadline();
    const Clock::time_point now = Clock::now();
    connection->setIdleSince(now);
    m_idle[endpoint].push_back({connection, now, now + kept});
}

void EndpointConnections::closeIdle(const EndpointId &endpoint)
{
    const auto it = m_idle.find(endpoint);
    if (it == m_idle.end()) {
        return;
    }
    for (const Idle &idle : it->second) {
        idle.connection->close();
    }
    m_idle.erase(it);
}

void EndpointConnections::closeExpired()
{
    const Clock::time_point now = Clock::now();
    for (auto &[endpoint, idle] : m_idle) {
        std::erase_if(idle, [now](const Idle &it) {
            if (now < it.until && it.connection->isReusable()) {
                return false;
            }
            it.connection->close();
            return true;
        });
    }
    absl::erase_if(m_idle, [](const auto &entry) {
        return entry.second.empty();
    });
}

std::size_t EndpointConnections::idleCount() const
{
    std::size_t sum = 0;
    for (const auto &[endpoint, idle] : m_idle) {
        sum += idle.size();
    }
    return sum;
}

}
