#pragma once

#include "base/identifier.h"
#include "httpconnection.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

namespace RadishSwitch
{

struct EndpointConnectionSettings {
    /// A dark endpoint must cost a call less than its target latency. A new connection takes two ways through the
    /// network and a millisecond at the endpoint.
    Duration connectTimeout = std::chrono::milliseconds(150);
    /// Kept open for more, where the endpoint does not say for how long it keeps it.
    Duration idleTimeout = std::chrono::seconds(4);
    /// Taken off what an endpoint says, for the way of a call to it.
    Duration idleMargin = std::chrono::milliseconds(500);
    /// A held-up request is dropped before an endpoint that leaves would get it too late.
    SilenceLimits silenceLimits{.unacknowledged = std::chrono::milliseconds(1000),
                                .heldUpRequest = std::chrono::milliseconds(600),
                                .probeInterval = std::chrono::seconds(1)};
};

/// The idle connections to endpoints, by the life of the endpoint to which each was made. Used on one worker.
class EndpointConnections
{
public:
    using ConnectionPointer = std::shared_ptr<HttpConnection>;

    explicit EndpointConnections(WorkerPool &workers, EndpointConnectionSettings settings = {});

    /// The idle connection that was used last, if it is sound and was idle for no longer than `maximumIdle`; or null.
    ConnectionPointer takeIdle(const EndpointId &endpoint, Duration maximumIdle);

    /// A new connection, not yet made.
    ConnectionPointer create(const std::string &address);

    Duration connectTimeout() const
    {
        return m_settings.connectTimeout;
    }

    /// Takes a connection back after an answer that was read whole. `idleTimeout` is what the endpoint said.
    void giveBack(const EndpointId &endpoint, const ConnectionPointer &connection, std::optional<Duration> idleTimeout);

    /// Closes the idle connections to an endpoint. Something on the way may have lost track of them, or the endpoint is
    /// gone; each would cost a call its whole wait.
    void forget(const EndpointId &endpoint);

    /// Closes connections that were idle for too long, and forgets endpoints without any.
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
