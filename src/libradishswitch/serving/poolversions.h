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

/// A pool and one of its versions.
struct PoolVersion {
    PoolId pool;
    SoftwareVersion version;

    bool operator==(const PoolVersion &) const = default;
};

/// The software versions that serve in each pool, as far as this process knows, and whether the fleet knows of them.
///
/// A pool of one version needs no records of its streams: any of its endpoints may continue any stream. That is only
/// safe while no gateway begins streams at a version of which another gateway has not heard. Therefore a further
/// version is announced to the fleet first, and streams begin there some time later.
///
/// The established version of a pool is kept in the platform's store, so that all gateways agree on it, also after a
/// restart. It is the one at which streams begin without any record. It changes only once no other version has served
/// for longer than a caller continues a stream.
class PoolVersions
{
public:
    using Callback = std::function<void(const PoolId &pool)>;

    explicit PoolVersions(PoolVersionsSettings settings = {});

    /// What the fleet announces will be read from the store. Until it is, no streams begin.
    void awaitAnnouncements();

    /// The fleet's announcements and established versions have been read from the store.
    void noteAnnouncementsListed();

    /// Called when it becomes known that a pool has several versions.
    void setSeveralCallback(Callback callback);

    /// An endpoint of this version is in the list.
    void noteListed(const PoolId &pool, const SoftwareVersion &version, Instant now);

    /// The first list of endpoints is complete. In a pool that has several versions from the start, none of them is
    /// known to be the one that the other gateways know.
    void noteFirstListComplete();

    /// The fleet knows that the pool has several versions. If it knew that before this process started, then nothing
    /// has to settle, unless the established version is listed. `unannouncedAt` is when it was last confirmed that
    /// there was no announcement, by the clock that counts suspensions.
    void noteAnnounced(const PoolId &pool, bool wasBeforeStart, Instant now,
                       std::optional<Instant> unannouncedAt = std::nullopt);

    /// The announcement was withdrawn.
    void noteWithdrawn(const PoolId &pool);

    /// The established version of the pool is in the store.
    void noteEstablished(const PoolId &pool, const SoftwareVersion &version);

    /// The store has no established version of the pool any more. This process goes on with the one that it knows.
    void noteEstablishedLost(const PoolId &pool);

    /// Forgets versions that have not been listed for a long time.
    void removeOld(Instant now);

    /// Whether streams of the pool may have begun at different versions.
    bool hasSeveral(const PoolId &pool) const;

    /// The only version that this process knows of in the pool; nullopt if it knows none or several.
    std::optional<SoftwareVersion> onlyVersion(const PoolId &pool) const;

    /// The version at which streams begin without a record; nullopt if it is not known.
    std::optional<SoftwareVersion> established(const PoolId &pool) const;

    /// Until then, by the clock that counts suspensions, all streams of an announced pool began at its established
    /// version; nullopt if that is not known.
    std::optional<Instant> soleVersionUntil(const PoolId &pool) const;

    bool isAnnounced(const PoolId &pool) const;

    /// Whether streams may begin at endpoints of this version.
    bool mayBegin(const PoolId &pool, const SoftwareVersion &version, Instant now) const;

    /// Pools with several versions of which the fleet has not been told.
    std::vector<PoolId> unannounced() const;

    /// Announced pools of which this process has known no more than one version for long.
    std::vector<PoolId> announcedWithoutNeed(Instant now) const;

    /// Established versions that the store does not have. A process can tell that a version is the only one if it has
    /// known the pool for long, or `isFirstStart`: the fleet served nothing before.
    std::vector<PoolVersion> unestablished(bool isFirstStart, Instant now) const;

    std::vector<SoftwareVersion> versions(const PoolId &pool) const;

private:
    struct Pool {
        std::map<SoftwareVersion, Instant> lastListedAt;
        /// Since when this process has known any version of the pool.
        Instant firstListedAt{};
        /// The version that the other gateways are assumed to know, if `established` is not known.
        std::optional<SoftwareVersion> assumed;
        std::optional<SoftwareVersion> established;
        /// Whether the store has `established`.
        bool isEstablishedStored = false;
        bool isAnnounced = false;
        bool wasAnnouncedBeforeStart = false;
        Instant announcedAt{};
        std::optional<Instant> unannouncedAt;
        bool hasSeveral = false;

        bool isListed(const SoftwareVersion &version) const
        {
            return lastListedAt.contains(version);
        }

        /// Whether streams may have begun at more than one version.
        bool hasFurtherVersion() const;
    };

    const Pool *find(const PoolId &pool) const;
    bool isSettled(const Pool &pool, Instant now) const;
    /// Whether a version that this process does not know would have been forgotten by all others as well.
    bool isKnownForLong(const Pool &pool, Instant now) const;
    void updateHasSeveral(const PoolId &pool, Pool &state);

    const PoolVersionsSettings m_settings;
    absl::flat_hash_map<PoolId, Pool> m_pools;
    /// Whether any pool has several versions.
    bool m_hasSeveral = false;
    bool m_awaitsAnnouncements = false;
    Callback m_onSeveral;
};

}
