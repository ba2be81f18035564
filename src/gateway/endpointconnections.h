#pragma once

#include "base/identifier.h"
#include "httpconnection.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

namespace RadishSwitch
{

struct EndpointConnectionSettings {
    /// Bounds the establishment of a connection. An unreachable endpoint must delay a call by less than its target
    /// latency. A connection normally takes one network round trip and one millisecond at the endpoint.
    Duration connectTimeout = std::chrono::milliseconds(150);
    /// How long an idle connection is kept if the endpoint does not state its own idle timeout.
    Duration idleTimeout = std::chrono::seconds(4);
    /// Subtracted from the idle timeout that an endpoint states, for the transfer of the next call.
    Duration idleMargin = std::chrono::milliseconds(500);
    /// How long sent bytes may stay unacknowledged. A held-up request is dropped early, so that it does not reach an
    /// endpoint that is leaving too late to be served.
    SilenceLimits silenceLimits{.unacknowledged = std::chrono::milliseconds(1000),
                                .heldUpRequest = std::chrono::milliseconds(600),
                                .probeInterval = std::chrono::seconds(1)};
    /// Counts the bytes of all connections; null to count none.
    LinkTraffic *traffic = nullptr;
};

/// The pool of idle connections to endpoints. It is used on one worker only.
class EndpointConnections
{
public:
    using ConnectionPointer = std::shared_ptr<HttpConnection>;

    explicit EndpointConnections(WorkerPool &workers, EndpointConnectionSettings settings = {});

    /// The most recently used idle connection if it is still usable and was idle for at most `maximumIdle`; else null.
    ConnectionPointer takeIdle(const EndpointId &endpoint, Duration maximumIdle);

    /// A new connection that is not established yet.
    ConnectionPointer create(const std::string &address);

    Duration connectTimeout() const
    {
        return m_settings.connectTimeout;
    }

    /// Takes a connection back after its answer was read completely. `idleTimeout` is the time that the endpoint
    /// stated.
    void release(const EndpointId &endpoint, const ConnectionPointer &connection, std::optional<Duration> idleTimeout);

    /// Closes the idle connections to an endpoint. A device on the network path may have dropped their state, or the
    /// endpoint has ended; each of them could delay a call by its whole timeout.
    void closeIdle(const EndpointId &endpoint);

    /// Closes connections whose idle timeout has passed, that have ended, or on which bytes came that nobody asked for,
    /// and removes endpoints without connections.
    void closeExpired();

    std::size_t idleCount() const;

private:
    using Clock = HttpConnection::Clock;

    struct Idle {
        ConnectionPointer connection;
        Clock::time_point since;
        Clock::time_point until;
    };

    WorkerPool &m_workers;
    const EndpointConnectionSettings m_settings;
    absl::flat_hash_map<EndpointId, std::vector<Idle>> m_idle;
};

}
