#pragma once

#include "base/timerservice.h"
#include "endpointmonitor.h"
#include "messagestream.h"
#include "wire.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace RadishSwitch
{

/// Tells the entries that listen how the endpoint is: every half second, and at once when its state changes.
///
/// Thread-safe. Lock order: `m_mutex`, then the monitor's mutex and the inner locks of streams.
class HeartbeatPublisher : public std::enable_shared_from_this<HeartbeatPublisher>
{
public:
    static constexpr Duration kInterval = std::chrono::milliseconds(500);

    /// `identity` holds what stays the same for the life of the process: endpoint, incarnation, pool, place, address.
    HeartbeatPublisher(const EndpointMonitor &monitor, TimerService &timers, wire::AgentHeartbeat identity);

    void start();

    /// Tells this stream from now on, the first time at once.
    void addListener(MessageStreamPointer stream);
    void removeListener(const MessageStream *stream);

    /// From now on the state is leaving; all listeners are told at once.
    void setLeaving();

    /// Tells all listeners now.
    void publish();

private:
    struct Listener {
        MessageStreamPointer stream;
        std::uint64_t cacheCursor = 0;
    };

    void sendTo(Listener &listener);

    const EndpointMonitor &m_monitor;
    TimerService &m_timers;

    std::mutex m_mutex;
    Instant m_startedAt;
    wire::AgentHeartbeat m_identity;
    absl::flat_hash_map<const MessageStream *, Listener> m_listeners;
    std::uint64_t m_sequence = 0;
};

}
