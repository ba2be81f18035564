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
    /// Homes of one availability zone that make themselves known; zero for all. Each that does is in the list of every
    /// gateway, and a fleet needs no more than its ledger's shards and what may be lost at once.
    int wantedInZone = 0;
    /// Within so long homes that start together look at how many there are, each at a moment of its own. A list of the
    /// cheap kind may be a second old, and those that look in that second do not see one another.
    Duration spread = std::chrono::seconds(8);
    /// One that is not needed looks again after so long.
    Duration lookAgain = std::chrono::minutes(2);
};

/// Decides whether a home makes itself known: only while too few of its zone are.
///
/// A home that is not known does nothing, and costs the others nothing: of 625 beside as many endpoints each was in the
/// list of 357 gateways, and eight were asked.
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
    void lookAfter(Duration span);
    void look();
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
