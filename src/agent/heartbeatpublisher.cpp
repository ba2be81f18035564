#include "heartbeatpublisher.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

/// A listener that is so far behind is skipped: old heartbeats would only come later still.
constexpr std::size_t kMaximumQueuedBytes = 64 * 1024;

}

HeartbeatPublisher::HeartbeatPublisher(const EndpointMonitor &monitor, TimerService &timers,
                                       wire::AgentHeartbeat identity)
    : m_monitor(monitor)
    , m_timers(timers)
    , m_identity(std::move(identity))
{
    m_identity.set_state(wire::PROCESS_READY);
    m_startedAt = m_timers.now();
}

void HeartbeatPublisher::start()
{
    m_timers.every(kInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->publish();
        }
    });
}

void HeartbeatPublisher::addListener(MessageStreamPointer stream)
{
    const std::lock_guard lock(m_mutex);
    const MessageStream *key = stream.get();
    Listener &listener = m_listeners[key];
    listener.stream = std::move(stream);
    ++m_sequence;
    sendTo(listener);
}

void HeartbeatPublisher::removeListener(const MessageStream *stream)
{
    const std::lock_guard lock(m_mutex);
    m_listeners.erase(stream);
}

void HeartbeatPublisher::setLeaving()
{
    {
        const std::lock_guard lock(m_mutex);
        m_identity.set_state(wire::PROCESS_LEAVING);
    }
    publish();
}

void HeartbeatPublisher::publish()
{
    const std::lock_guard lock(m_mutex);
    ++m_sequence;
    for (auto &[stream, listener] : m_listeners) {
        if (listener.stream->queuedBytes() <= kMaximumQueuedBytes) {
            sendTo(listener);
        }
    }
}

void HeartbeatPublisher::sendTo(Listener &listener)
{
    wire::AgentHeartbeat heartbeat = m_identity;
    heartbeat.set_sequence(m_sequence);
    heartbeat.set_uptime_us(std::max<std::int64_t>(1, (m_timers.now() - m_startedAt).count()));
    m_monitor.describe(heartbeat, listener.cacheCursor);
    listener.stream->send(heartbeat.SerializeAsString());
}

}
