#include "loadservice.h"

#include "base/failure.h"
#include "loadwire.h"
#include "log.h"
#include "wireconversion.h"

#include <utility>
#include <vector>

namespace RadishSwitch
{

namespace
{

const Log kLog("load");

/// Bounds the memory that senders with ever new names can occupy.
constexpr std::size_t kMaximumLoggedSenders = 1000;
constexpr std::size_t kMaximumLoggedNameBytes = 64;

std::string senderOf(const wire::LoadMessage &message)
{
    const std::string name = message.has_endpoint() ? message.endpoint().address() : message.gateway().gateway();
    return name.substr(0, kMaximumLoggedNameBytes);
}

}

LoadService::LoadService(LoadCollector &collector, TimerService &timers, Metrics &metrics, LoadServiceSettings settings)
    : m_collector(collector)
    , m_timers(timers)
    , m_settings(settings)
    , m_rejected(metrics.counter("radishswitch_load_reports_rejected_total",
                                 "Load reports of other processes that could not be used"))
{
    m_timer = m_timers.every(m_settings.newsInterval, [this] {
        sendNews();
    });
}

LoadService::~LoadService()
{
    m_timers.cancel(m_timer);
}

void LoadService::serve(const MessageStreamPointer &stream)
{
    const LinkId id = ++m_lastLink;
    m_links[id] = Link{stream, m_timers.now(), std::nullopt, false};
    const std::weak_ptr<int> alive = m_alive;
    stream->start(
        [this, alive, id](const std::string &frame) {
            if (!alive.expired()) {
                handle(id, frame);
            }
        },
        [this, alive, id](const absl::Status &) {
            if (!alive.expired()) {
                remove(id);
            }
        });
}

void LoadService::remove(LinkId id)
{
    const auto it = m_links.find(id);
    if (it == m_links.end()) {
        return;
    }
    if (it->second.subscriber) {
        m_collector.unsubscribe(*it->second.subscriber);
    }
    // A stream whose other side has finished goes on to send until it finishes itself.
    it->second.stream->finish();
    m_links.erase(it);
}

void LoadService::handle(LinkId id, const std::string &frame)
{
    const auto it = m_links.find(id);
    if (it == m_links.end()) {
        return;
    }
    Link &link = it->second;
    link.heardAt = m_timers.now();
    const absl::StatusOr<wire::LoadMessage> message = parseLoadFrame(frame);
    if (!message.ok()) {
        logRejected(std::string(), message.status());
        const MessageStreamPointer stream = link.stream;
        remove(id);
        return stream->cancel();
    }
    if (const absl::Status status = handleMessage(link, *message); !status.ok()) {
        logRejected(senderOf(*message), status);
    }
}

absl::Status LoadService::handleMessage(Link &link, const wire::LoadMessage &message)
{
    switch (message.message_case()) {
    case wire::LoadMessage::kEndpoint:
        return handleEndpoint(link, message.endpoint());
    case wire::LoadMessage::kGateway:
        return handleGateway(link, message.gateway());
    default:
        // A process of a newer version says something that this one doesn't know.
        return absl::OkStatus();
    }
}

absl::Status LoadService::handleEndpoint(Link &link, const wire::EndpointLoadReport &message)
{
    if (!std::exchange(link.isAnswered, true)) {
        wire::LoadMessage answer;
        answer.mutable_news();
        link.stream->send(answer.SerializeAsString());
    }
    return m_collector.addEndpoint(endpointLoadFromWire(message), m_timers.now());
}

absl::Status LoadService::handleGateway(Link &link, const wire::GatewayLoadReport &message)
{
    const absl::Status status = m_collector.addGateway(gatewayLoadFromWire(message), m_timers.now());
    if (status.ok() && !link.subscriber) {
        link.subscriber = m_collector.subscribe(message.zone());
    }
    return status;
}

void LoadService::sendNews()
{
    const Instant now = m_timers.now();
    m_collector.dropStale(now);
    std::vector<LinkId> silent;
    for (auto &[id, link] : m_links) {
        if (!link.subscriber) {
            continue;
        }
        if (now - link.heardAt >= m_settings.longestSilence) {
            silent.push_back(id);
        } else if (link.stream->queuedBytes() <= m_settings.maximumQueuedBytes) {
            wire::LoadMessage message;
            *message.mutable_news() = loadNewsToWire(m_collector.takeNews(*link.subscriber, now));
            link.stream->send(message.SerializeAsString());
        }
    }
    for (const LinkId id : silent) {
        const MessageStreamPointer stream = m_links.at(id).stream;
        remove(id);
        stream->cancel();
    }
}

void LoadService::logRejected(const std::string &sender, const absl::Status &status)
{
    m_rejected.add();
    const Instant now = m_timers.now();
    const auto it = m_loggedAt.find(sender);
    if (it != m_loggedAt.end() && now - it->second < m_settings.logInterval) {
        return;
    }
    if (it == m_loggedAt.end() && m_loggedAt.size() >= kMaximumLoggedSenders) {
        std::erase_if(m_loggedAt, [this, now](const auto &entry) {
            return now - entry.second >= m_settings.logInterval;
        });
        if (m_loggedAt.size() >= kMaximumLoggedSenders) {
            return;
        }
    }
    m_loggedAt[sender] = now;
    kLog.warning("load report can't be used",
                 {field("sender", sender), field("failure", failureName(failureCode(status))),
                  field("error", std::string(status.message()))});
}

}
