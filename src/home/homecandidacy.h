#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "peerannouncement.h"

#include <functional>
#include <memory>
#include <string>

namespace RadishSwitch
{

struct HomeCandidacySettings {
    /// Number of homes in one availability zone that announce themselves. Zero means that all homes do. Every gateway
    /// keeps each announced home in its list of peers. A fleet needs only as many homes as its ledger has shards, plus
    /// the number of homes that can fail at once.
    int targetPerZone = 0;
    /// Homes that start together count the announced homes at random moments within this time after their start. The
    /// relaxed list that they read can be a second old, so homes that count within the same second don't see each
    /// other.
    Duration startSpread = std::chrono::seconds(8);
    /// A home that is not needed counts the announced homes again after this time.
    Duration recheckInterval = std::chrono::minutes(2);
};

/// Decides whether a home announces itself to the fleet: only while its availability zone has too few announced homes.
///
/// A home that is not announced does nothing and costs the other processes nothing. Without this limit, 625 homes
/// beside 625 endpoints were each in the peer lists of 357 gateways, although gateways used only eight of them.
class HomeCandidacy
{
public:
    HomeCandidacy(ObjectStore &store, TimerService &timers, RandomSource &random, PeerAnnouncement &announcement,
                  std::string instance, std::string zone, HomeCandidacySettings settings);
    ~HomeCandidacy();

    HomeCandidacy(const HomeCandidacy &) = delete;
    HomeCandidacy &operator=(const HomeCandidacy &) = delete;

    void start(bool isFirstStart);

private:
    void scheduleCheck(Duration delay);
    void checkPeers();
    void decide(const std::vector<StoredObject> &peers);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    PeerAnnouncement &m_announcement;
    const std::string m_instance;
    const std::string m_zone;
    const HomeCandidacySettings m_settings;
    TimerId m_timer = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
