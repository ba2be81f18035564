#include "homecandidacy.h"

#include "log.h"
#include "peerentry.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("peers");

/// Delay before the home lists its peers again after a failed call to the store.
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
    if (m_settings.targetPerZone == 0) {
        return m_announcement.start(isFirstStart);
    }
    scheduleCheck(Duration(
        static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(m_settings.startSpread.count()) + 1))));
}

void HomeCandidacy::scheduleCheck(Duration delay)
{
    m_timer = m_timers.after(delay, [this] {
        m_timer = 0;
        checkPeers();
    });
}

void HomeCandidacy::checkPeers()
{
    m_store.listRelaxed(kPeersPrefix, [this, alive = std::weak_ptr<int>(m_alive)](const auto &peers) {
        if (alive.expired()) {
            return;
        }
        peers.ok() ? decide(peers->objects) : scheduleCheck(kRetryPause);
    });
}

void HomeCandidacy::decide(const std::vector<StoredObject> &peers)
{
    int announcedHomes = 0;
    for (const StoredObject &object : peers) {
        // This home announced itself before a restart, so its object is already in the store. The announcement rewrites
        // the object if its value has changed.
        if (object.key == kPeersPrefix + m_instance) {
            return m_announcement.start(false);
        }
        const absl::StatusOr<FleetPeer> peer = readPeerEntry(object.value);
        announcedHomes += peer.ok() && peer->kind == PeerKind::Home && peer->zone == m_zone ? 1 : 0;
    }
    if (announcedHomes < m_settings.targetPerZone) {
        return m_announcement.start(true);
    }
    kLog.info("home not announced, its zone has enough homes", {field("zone", m_zone), field("known", announcedHomes)});
    scheduleCheck(m_settings.recheckInterval);
}

}
