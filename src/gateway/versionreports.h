#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "serving/objectlistener.h"
#include "serving/poolversions.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace RadishSwitch
{

/// Key prefix of all objects about software versions.
inline constexpr char kVersionReportPrefix[] = "news/versions";

/// Key prefix of the announcements that a pool has endpoints of several software versions. There is one object for each
/// such pool.
inline constexpr char kVersionPrefix[] = "news/versions.";

/// Key prefix of the established versions, one object for each pool in which streams can be continued.
inline constexpr char kEstablishedVersionPrefix[] = "news/versions-established.";

/// Announces to all gateways, also to those that start later, which pools have endpoints of several software versions,
/// and which version of a pool is the established one.
class VersionReports : public ObjectListener
{
public:
    /// What a gateway needs to know besides the versions.
    struct Inputs {
        /// Whether the whole fleet starts for the first time, so that no stream began before.
        bool isFirstStart = false;
        /// Whether streams of the pool can be continued.
        std::function<bool(const PoolId &pool)> isResumable;
        /// As of when the announcements are known, and were known before the change that is being applied; both by the
        /// clock that counts suspensions, Instant::min() if they were not.
        std::function<Instant()> confirmedAt;
        std::function<Instant()> previouslyConfirmedAt;
    };

    VersionReports(ObjectStore &store, TimerService &timers, RandomSource &random, PoolVersions &versions,
                   Inputs inputs);

    /// Announces the pools that have several versions and were not announced yet.
    void announce();

    /// Writes the established versions that the store does not have.
    void establish();

    /// Withdraws announcements of pools that have had one version for long.
    void removeExpired();

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    void scheduleAnnouncements(Duration delay);
    void put(const PoolId &pool);
    std::vector<PoolVersion> unestablished() const;
    void putEstablished(const PoolVersion &established);
    void applyObject(const StoredObject &object, bool wasBeforeStart);
    void applyAnnouncement(const StoredObject &object, bool wasBeforeStart);
    void applyEstablished(const StoredObject &object);
    void forgetAnnouncement(const PoolId &pool);
    void forgetEstablished(const PoolId &pool);
    void forgetUnlisted(const std::vector<StoredObject> &objects);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    PoolVersions &m_versions;
    const Inputs m_inputs;
    /// Versions of the store at which the announcements, and the established versions, were written.
    std::map<PoolId, std::uint64_t> m_announced;
    std::map<PoolId, std::uint64_t> m_established;
    bool m_isScheduled = false;
    bool m_isEstablishing = false;
    bool m_isListed = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
