#pragma once

#include "messageclientsource.h"
#include "serving/homedirectory.h"
#include "serving/loadcollector.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace RadishSwitch
{

struct LoadPublisherSettings {
    /// Time between two reports.
    Duration interval = std::chrono::milliseconds(250);
    /// A collector that has not answered the first report after this time is taken for unreachable.
    Duration answerTimeout = std::chrono::milliseconds(1500);
    /// How long a process that takes no reports is not asked again: it is of an older version.
    Duration refusedPause = std::chrono::seconds(10);
    /// A stream with more bytes in its queue is sent nothing: the next report replaces the one left out.
    std::size_t maximumQueuedBytes = 4 * 1024;
};

/// Sends the load of the endpoint beside this process to the collector of each zone, over one stream for each process
/// that is a collector.
///
/// The collector of a zone is the home that the directory ranks first for it among the reachable ones. While a
/// better-ranked one is being tried, the last one that answered is sent the reports as well, so that trying a process
/// that is still frozen leaves no gap.
class LoadPublisher
{
public:
    using ReportSource = std::function<std::optional<EndpointLoadReport>()>;

    /// Reports for this process itself are given to `ownCollector`. `onZoneWithoutCollector` is called as long as all
    /// homes of a zone are unreachable.
    LoadPublisher(MessageClientSource &clients, HomeDirectory &homes, TimerService &timers, LoadCollector &ownCollector,
                  ReportSource source, std::function<void()> onZoneWithoutCollector,
                  LoadPublisherSettings settings = {});
    ~LoadPublisher();

    LoadPublisher(const LoadPublisher &) = delete;
    LoadPublisher &operator=(const LoadPublisher &) = delete;

    /// Sets the processes of the fleet, also those of the directory.
    void setPeers(const std::map<std::string, FleetPeer> &peers);

    /// The collector of a zone that took the last report; empty if there is none.
    std::string collectorOf(const std::string &zone) const;

private:
    struct Zone {
        /// The collector in use, and the one that is being tried in its place.
        std::string current;
        std::string candidate;
    };

    struct Link {
        std::string address;
        MessageStreamPointer stream;
        Instant openedAt{};
        bool isAnswered = false;
    };

    void publish();
    void giveUpSilentCandidates();
    void chooseCollectors();
    void chooseCollector(const std::string &name, Zone &zone);
    std::set<std::string> collectors() const;
    void closeUnusedLinks(const std::set<std::string> &used);
    void send(const std::string &peer, const std::string &frame);
    void open(const std::string &peer, const std::string &frame);
    void handleAnswer(const std::string &peer, const MessageStream *stream);
    void handleClosed(const std::string &peer, const MessageStream *stream, const absl::Status &status);
    /// Ends the use of a collector that does not answer or closed its stream.
    void lose(const std::string &peer, const absl::Status &status);
    void useCollector(const std::string &name, Zone &zone, const std::string &peer);

    MessageClientSource &m_clients;
    HomeDirectory &m_homes;
    TimerService &m_timers;
    LoadCollector &m_ownCollector;
    const ReportSource m_source;
    const std::function<void()> m_onZoneWithoutCollector;
    const LoadPublisherSettings m_settings;
    TimerId m_timer = 0;
    std::map<std::string, FleetPeer> m_peers;
    std::map<std::string, Zone> m_zones;
    std::map<std::string, Link> m_links;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
