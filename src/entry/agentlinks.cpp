#include "agentlinks.h"

#include "wireconversion.h"

#include <atomic>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::seconds(2);

}

EndpointReport reportFromWire(const wire::AgentHeartbeat &message)
{
    EndpointReport report;
    report.endpoint = EndpointId(message.endpoint());
    report.incarnation = IncarnationId(message.incarnation());
    report.sequence = message.sequence();
    report.pool = PoolId(message.pool());
    report.address = message.address();
    report.zone = message.zone();
    report.region = message.region();
    report.isLeaving = message.state() == wire::PROCESS_LEAVING;
    report.isHealthy = message.healthy();
    report.load.running = message.load().running();
    report.load.queued = message.load().queued();
    report.load.capacity = message.load().capacity();
    report.load.queuedTokens = message.load().queued_tokens();
    report.load.tokensPerSecond = message.load().tokens_per_second();
    report.load.age = std::chrono::milliseconds(message.load().age_ms());
    if (message.uptime_us() > 0) {
        report.uptime = Duration(message.uptime_us());
    }
    report.softwareVersion = SoftwareVersion(message.software_version());
    report.models.assign(message.models().begin(), message.models().end());
    report.adapters.assign(message.adapters().begin(), message.adapters().end());
    for (const wire::CacheEvent &event : message.cache_events()) {
        report.cacheEvents.push_back(
            {event.sequence(), event.stored(), {event.prefix_hashes().begin(), event.prefix_hashes().end()}});
    }
    return report;
}

// One agent's heartbeats. A stream that closes is opened again after a pause that grows while it keeps failing.
class AgentLinks::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(std::shared_ptr<MessageClient> client, TimerService &timers, DispatchGate &gate)
        : m_client(std::move(client))
        , m_timers(timers)
        , m_gate(gate)
    {
    }

    void open()
    {
        if (m_isClosed) {
            return;
        }
        const MessageStreamPointer stream = m_client->open("/heartbeats", std::string());
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stream = stream;
        }
        stream->start(
            [self = shared_from_this()](std::string frame) {
                self->onHeartbeat(frame);
            },
            [self = shared_from_this()](absl::Status) {
                self->onClosed();
            });
    }

    void close()
    {
        m_isClosed = true;
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stream) {
            m_stream->cancel();
        }
    }

private:
    void onHeartbeat(const std::string &frame)
    {
        const absl::StatusOr<wire::AgentHeartbeat> message = parseFrame<wire::AgentHeartbeat>(frame);
        if (!message.ok()) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stream->cancel();
            return;
        }
        m_pause = kFirstPause;
        m_endpoint = EndpointId(message->endpoint());
        m_gate.applyReport(reportFromWire(*message));
    }

    void onClosed()
    {
        if (!m_endpoint.isEmpty()) {
            m_gate.noteConnectionLost(m_endpoint);
        }
        if (m_isClosed) {
            return;
        }
        m_timers.after(m_pause, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->open();
            }
        });
        m_pause = std::min(m_pause * 2, kLongestPause);
    }

    std::shared_ptr<MessageClient> m_client;
    TimerService &m_timers;
    DispatchGate &m_gate;
    std::mutex m_mutex;
    MessageStreamPointer m_stream;
    std::atomic<bool> m_isClosed = false;
    /// Used in the stream's callbacks alone, which come one at a time.
    EndpointId m_endpoint;
    Duration m_pause = kFirstPause;
};

AgentLinks::AgentLinks(MessageClients &clients, TimerService &timers, DispatchGate &gate)
    : m_clients(clients)
    , m_timers(timers)
    , m_gate(gate)
{
}

AgentLinks::~AgentLinks()
{
    for (const auto &[address, link] : m_links) {
        link->close();
    }
}

void AgentLinks::setListed(const std::vector<PlatformInstance> &instances)
{
    std::set<std::string> listed;
    for (const PlatformInstance &instance : instances) {
        if (instance.role == InstanceRole::Agent) {
            listed.insert(instance.name);
            m_gate.applyListed({EndpointId(instance.name), instance.address, PoolId(instance.pool), instance.zone,
                                instance.region, instance.isLeaving});
        }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const PlatformInstance &instance : m_listed) {
        if (instance.role == InstanceRole::Agent && !listed.contains(instance.name)) {
            m_gate.applyUnlisted(EndpointId(instance.name));
        }
    }
    m_listed = instances;
    refresh();
}

void AgentLinks::setSubset(std::set<EndpointId> subset)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_subset = std::move(subset);
    refresh();
}

// A link is closed only when its agent has left both the list and the subset's reach: the list lags, and misses agents
// that live.
void AgentLinks::refresh()
{
    for (const PlatformInstance &instance : m_listed) {
        if (instance.role != InstanceRole::Agent || m_links.contains(instance.address)) {
            continue;
        }
        if (m_subset && !m_subset->contains(EndpointId(instance.name))) {
            continue;
        }
        const auto link = std::make_shared<Link>(m_clients.client(instance.address), m_timers, m_gate);
        m_links.emplace(instance.address, link);
        link->open();
    }
    if (!m_subset) {
        return;
    }
    for (const PlatformInstance &instance : m_listed) {
        const auto it = m_links.find(instance.address);
        if (it != m_links.end() && !m_subset->contains(EndpointId(instance.name))) {
            it->second->close();
            m_links.erase(it);
        }
    }
}

}
