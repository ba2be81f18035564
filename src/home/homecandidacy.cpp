#include "homecandidacy.h"

#include "log.h"
#include "peerentry.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("peers");

/// Until the next try when the store did not answer.
constexpr Duration kRetryPause = std::chrono::seconds(1);

}

HomeCandidacy::HomeCandidacy(ObjectStore &store, TimerService &timers, RandomSource &random,
                             PeerAnnouncement &announcement, std::string instance, std::string zone,
                             HomeCandidacySettings settings)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_announcement(announcement)
    , m_instance(std::move(instance))
    , m_zone(std::move(zone))
    , m_settings(settings)
{
}

HomeCandidacy::~HomeCandidacy()
{
    m_timers.cancel(m_timer);
}

void HomeCandidacy::start(bool isFirstStart)
{
    if (m_settings.wantedInZone == 0) {
        return m_announcement.start(isFirstStart);
    }
    lookAfter(Duration(
        static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(m_settings.spread.count()) + 1))));
}

void HomeCandidacy::lookAfter(Duration span)
{
    m_timer = m_timers.after(span, [this] {
        m_timer = 0;
        look();
    });
}

void HomeCandidacy::look()
{
    m_store.listRelaxed(kPeersPrefix, [this, alive = std::weak_ptr<int>(m_alive)](const auto &peers) {
        if (alive.expired()) {
            return;
        }
        peers.ok() ? decide(peers->objects) : lookAfter(kRetryPause);
    });
}

void HomeCandidacy::decide(const std::vector<StoredObject> &peers)
{
    int known = 0;
    for (const StoredObject &object : peers) {
        // Its object is there from an earlier life; the announcement sees to it that it is up to date.
        if (object.key == kPeersPrefix + m_instance) {
            return m_announcement.start(false);
        }
        const absl::StatusOr<FleetPeer> peer = readPeerEntry(object.value);
        known += peer.ok() && peer->kind == PeerKind::Home && peer->zone == m_zone ? 1 : 0;
    }
    if (known < m_settings.wantedInZone) {
        return m_announcement.start(true);
    }
    kLog.info("not needed as a home", {field("zone", m_zone), field("known", known)});
    lookAfter(m_settings.lookAgain);
}

}
