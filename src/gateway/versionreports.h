#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "serving/objectlistener.h"
#include "serving/poolversions.h"

#include <map>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// Key prefix of the announcements that a pool has endpoints of several software versions. There is one object for each
/// such pool.
inline constexpr char kVersionPrefix[] = "news/versions.";

/// Announces to all gateways, also to those that start later, which pools have endpoints of several software versions.
class VersionReports : public ObjectListener
{
public:
    VersionReports(ObjectStore &store, TimerService &timers, RandomSource &random, PoolVersions &versions);

    /// Announces the pools that have several versions and were not announced yet.
    void announce();

    /// Withdraws announcements of pools that have had one version for long.
    void removeExpired();

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    void scheduleAnnouncements(Duration delay);
    void put(const PoolId &pool);
    void applyObject(const StoredObject &object, bool wasBeforeStart);
    void forget(const PoolId &pool);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    PoolVersions &m_versions;
    /// Versions of the store at which the announced pools were written.
    std::map<PoolId, std::uint64_t> m_announced;
    bool m_isScheduled = false;
    bool m_isListed = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
