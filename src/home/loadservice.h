#pragma once

#include "messagestream.h"
#include "metrics.h"
#include "serving/loadcollector.h"
#include "wire.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace RadishSwitch
{

struct LoadServiceSettings {
    /// Time between two messages to a subscriber.
    Duration newsInterval = std::chrono::milliseconds(500);
    /// The stream of a gateway from which nothing was heard for so long is cancelled. Homes are silent while their
    /// endpoint does not answer; whether they are gone is known from the connection.
    Duration longestSilence = std::chrono::seconds(10);
    /// A stream with more bytes in its queue is sent nothing: its gateway reads too slowly, and old updates are of no
    /// use to it.
    std::size_t maximumQueuedBytes = 8 * 1024;
    /// Time between two log lines about the messages of one sender.
    Duration logInterval = std::chrono::minutes(1);
};

/// Serves the streams on which homes and gateways report their load: passes the reports to the collector, and sends
/// load updates to the streams on which a gateway reported.
///
/// The first report of an endpoint on a stream is answered with an empty update. It tells the home that this process
/// takes reports; a connection that stands tells only that its kernel does.
class LoadService
{
public:
    LoadService(LoadCollector &collector, TimerService &timers, Metrics &metrics, LoadServiceSettings settings = {});
    ~LoadService();

    LoadService(const LoadService &) = delete;
    LoadService &operator=(const LoadService &) = delete;

    /// Serves a stream that another process has opened.
    void serve(const MessageStreamPointer &stream);

private:
    struct Link {
        MessageStreamPointer stream;
        Instant heardAt{};
        std::optional<LoadCollector::SubscriberId> subscriber;
        bool isAnswered = false;
    };

    using LinkId = std::uint64_t;

    void handle(LinkId id, const std::string &frame);
    absl::Status handleMessage(Link &link, const wire::LoadMessage &message);
    absl::Status handleEndpoint(Link &link, const wire::EndpointLoadReport &message);
    absl::Status handleGateway(Link &link, const wire::GatewayLoadReport &message);
    void remove(LinkId id);
    void sendNews();
    void logRejected(const std::string &sender, const absl::Status &status);

    LoadCollector &m_collector;
    TimerService &m_timers;
    const LoadServiceSettings m_settings;
    Counter &m_rejected;
    TimerId m_timer = 0;
    std::map<LinkId, Link> m_links;
    LinkId m_lastLink = 0;
    /// When a line about a sender was last written.
    std::map<std::string, Instant> m_loggedAt;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
