#include "loadpublisher.h"

#include "base/failure.h"
#include "loadwire.h"
#include "log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace RadishSwitch
{

namespace
{

const Log kLog("load");

std::string frameOf(const EndpointLoadReport &report)
{
    wire::LoadMessage message;
    *message.mutable_endpoint() = endpointLoadToWire(report);
    return message.SerializeAsString();
}

}

LoadPublisher::LoadPublisher(MessageClientSource &clients, HomeDirectory &homes, TimerService &timers,
                             LoadCollector &ownCollector, ReportSource source,
                             std::function<void()> onZoneWithoutCollector, LoadPublisherSettings settings)
    : m_clients(clients)
    , m_homes(homes)
    , m_timers(timers)
    , m_ownCollector(ownCollector)
    , m_source(std::move(source))
    , m_onZoneWithoutCollector(std::move(onZoneWithoutCollector))
    , m_settings(settings)
{
    m_timer = m_timers.every(m_settings.interval, [this] {
        publish();
    });
}

LoadPublisher::~LoadPublisher()
{
    m_timers.cancel(m_timer);
    for (const auto &[peer, link] : m_links) {
        link.stream->cancel();
    }
}

void LoadPublisher::setPeers(const std::map<std::string, FleetPeer> &peers)
{
    m_peers = peers;
    m_homes.setPeers(peers);
    std::map<std::string, Zone> zones;
    for (const auto &[name, peer] : peers) {
        if (const auto known = m_zones.find(peer.zone); known != m_zones.end()) {
            zones[peer.zone] = known->second;
        } else {
            zones.try_emplace(peer.zone);
        }
    }
    m_zones = std::move(zones);
}

std::string LoadPublisher::collectorOf(const std::string &zone) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? std::string() : it->second.current;
}

void LoadPublisher::publish()
{
    const std::optional<EndpointLoadReport> report = m_source();
    if (!report) {
        return;
    }
    giveUpSilentCandidates();
    chooseCollectors();
    const std::set<std::string> used = collectors();
    closeUnusedLinks(used);
    const std::string frame = frameOf(*report);
    for (const std::string &peer : used) {
        if (peer == m_homes.self()) {
            (void)m_ownCollector.addEndpoint(*report, m_timers.now());
        } else {
            send(peer, frame);
        }
    }
}

void LoadPublisher::giveUpSilentCandidates()
{
    const Instant now = m_timers.now();
    std::vector<std::string> silent;
    for (const auto &[peer, link] : m_links) {
        if (!link.isAnswered && now - link.openedAt >= m_settings.answerTimeout) {
            silent.push_back(peer);
        }
    }
    for (const std::string &peer : silent) {
        const MessageStreamPointer stream = m_links.at(peer).stream;
        lose(peer, makeFailure(FailureCode::ConnectionSilent, "the first report was not answered"));
        stream->cancel();
    }
}

void LoadPublisher::chooseCollectors()
{
    for (auto &[name, zone] : m_zones) {
        chooseCollector(name, zone);
    }
}

void LoadPublisher::chooseCollector(const std::string &name, Zone &zone)
{
    const std::string best = m_homes.nearestHome(name, m_timers.now());
    const auto peer = m_peers.find(best);
    const bool isOfZone = peer != m_peers.end() && peer->second.zone == name;
    const bool hasHomes = std::ranges::any_of(m_peers, [&name = name](const auto &it) {
        return it.second.kind == PeerKind::Home && it.second.zone == name;
    });
    if (!isOfZone && hasHomes) {
        m_onZoneWithoutCollector();
    }
    zone.candidate.clear();
    if (best.empty() || best == zone.current) {
        return;
    }
    const auto link = m_links.find(best);
    const bool isInUse = link != m_links.end() && link->second.isAnswered;
    if (best == m_homes.self() || isInUse) {
        useCollector(name, zone, best);
    } else {
        zone.candidate = best;
    }
}

void LoadPublisher::useCollector(const std::string &name, Zone &zone, const std::string &peer)
{
    zone.current = peer;
    zone.candidate.clear();
    kLog.info("collector chosen", {field("zone", name), field("collector", peer)});
}

std::set<std::string> LoadPublisher::collectors() const
{
    std::set<std::string> used;
    for (const auto &[name, zone] : m_zones) {
        used.insert(zone.current);
        used.insert(zone.candidate);
    }
    used.erase(std::string());
    return used;
}

void LoadPublisher::closeUnusedLinks(const std::set<std::string> &used)
{
    std::erase_if(m_links, [this, &used](const auto &it) {
        const auto &[peer, link] = it;
        const bool isUsed = used.contains(peer) && link.address == m_homes.addressOf(peer);
        if (!isUsed) {
            link.stream->cancel();
        }
        return !isUsed;
    });
}

void LoadPublisher::send(const std::string &peer, const std::string &frame)
{
    const auto it = m_links.find(peer);
    if (it == m_links.end()) {
        return open(peer, frame);
    }
    if (it->second.stream->queuedBytes() <= m_settings.maximumQueuedBytes) {
        it->second.stream->send(frame);
    }
}

void LoadPublisher::open(const std::string &peer, const std::string &frame)
{
    const std::string address = m_homes.addressOf(peer);
    if (address.empty()) {
        return lose(peer, makeFailure(FailureCode::ConnectionLost, "the process is not listed any more"));
    }
    const MessageStreamPointer stream = m_clients.client(address)->open(kLoadPath, frame);
    m_links[peer] = Link{address, stream, m_timers.now(), false};
    const std::weak_ptr<int> alive = m_alive;
    stream->start(
        [this, alive, peer, opened = stream.get()](const std::string &) {
            if (!alive.expired()) {
                handleAnswer(peer, opened);
            }
        },
        [this, alive, peer, closed = stream.get()](const absl::Status &status) {
            if (!alive.expired()) {
                handleClosed(peer, closed, status);
            }
        });
}

void LoadPublisher::handleAnswer(const std::string &peer, const MessageStream *stream)
{
    const auto it = m_links.find(peer);
    if (it == m_links.end() || it->second.stream.get() != stream || std::exchange(it->second.isAnswered, true)) {
        return;
    }
    m_homes.noteReached(peer);
    for (auto &[name, zone] : m_zones) {
        if (zone.candidate == peer) {
            useCollector(name, zone, peer);
        }
    }
}

void LoadPublisher::handleClosed(const std::string &peer, const MessageStream *stream, const absl::Status &status)
{
    const auto it = m_links.find(peer);
    if (it != m_links.end() && it->second.stream.get() == stream) {
        lose(peer, status);
    }
}

void LoadPublisher::lose(const std::string &peer, const absl::Status &status)
{
    m_links.erase(peer);
    const Instant now = m_timers.now();
    const bool isRefused = !status.ok() && failureCode(status) == FailureCode::MalformedMessage;
    if (isRefused) {
        m_homes.noteRefused(peer, now, m_settings.refusedPause);
    } else {
        m_homes.noteUnreachable(peer, now);
    }
    for (auto &[name, zone] : m_zones) {
        if (zone.candidate == peer) {
            zone.candidate.clear();
        }
        if (zone.current == peer) {
            zone.current.clear();
            kLog.warning(
                "collector lost",
                {field("zone", name), field("collector", peer), field("error", std::string(status.message()))});
        }
    }
}

}
