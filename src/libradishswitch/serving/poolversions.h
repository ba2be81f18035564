#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace RadishSwitch
{

struct PoolVersionsSettings {
    /// How long a version counts after its last endpoint has left the list. Longer than any caller continues a stream.
    Duration memory = std::chrono::seconds(60);
    /// How long after the announcement streams may begin at every version. Longer than a gateway relies on what it last
    /// heard of announcements (see StreamOriginsSettings::maximumAge).
    Duration settling = std::chrono::milliseconds(2500);
};

/// The software versions that serve in each pool, as far as this process knows, and whether the fleet knows of them.
///
/// A pool of one version needs no records of its streams: any of its endpoints may continue any stream. That is only
/// safe while no gateway begins streams at a version of which another gateway has not heard. Therefore a further
/// version is announced to the fleet first, and streams begin there some time later.
class PoolVersions
{
public:
    using Callback = std::function<void(const PoolId &pool)>;

    explicit PoolVersions(PoolVersionsSettings settings = {});

    /// Called when it becomes known that a pool has several versions.
    void setSeveralCallback(Callback callback);

    /// An endpoint of this version is in the list.
    void noteListed(const PoolId &pool, const SoftwareVersion &version, Instant now);

    /// The first list of endpoints is complete. In a pool that has several versions from the start, none of them is
    /// known to be the one that the other gateways know.
    void noteFirstListComplete();

    /// The fleet knows that the pool has several versions. If it knew that before this process started, then nothing
    /// has to settle.
    void noteAnnounced(const PoolId &pool, bool wasBeforeStart, Instant now);

    /// The announcement was withdrawn.
    void noteWithdrawn(const PoolId &pool);

    /// Forgets versions that have not been listed for a long time.
    void removeOld(Instant now);

    /// Whether streams of the pool may have begun at different versions.
    bool hasSeveral(const PoolId &pool) const;

    /// The only version that this process knows of in the pool; nullopt if it knows none or several.
    std::optional<SoftwareVersion> onlyVersion(const PoolId &pool) const;

    /// Whether streams may begin at endpoints of this version.
    bool mayBegin(const PoolId &pool, const SoftwareVersion &version, Instant now) const;

    /// Pools with several versions of which the fleet has not been told.
    std::vector<PoolId> unannounced() const;

    /// Announced pools of which this process knows no more than one version.
    std::vector<PoolId> announcedWithoutNeed() const;

    std::vector<SoftwareVersion> versions(const PoolId &pool) const;

private:
    struct Pool {
        std::map<SoftwareVersion, Instant> lastListedAt;
        /// The version that the other gateways are assumed to know.
        std::optional<SoftwareVersion> established;
        bool isAnnounced = false;
        bool hasSeveral = false;
        /// From then on streams may begin at every version.
        Instant settledAt = Instant::max();
    };

    const Pool *find(const PoolId &pool) const;
    void updateHasSeveral(const PoolId &pool, Pool &state);

    const PoolVersionsSettings m_settings;
    absl::flat_hash_map<PoolId, Pool> m_pools;
    /// Whether any pool has several versions.
    bool m_hasSeveral = false;
    Callback m_onSeveral;
};

}
