#include "serving/poolversions.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

PoolVersions::PoolVersions(PoolVersionsSettings settings)
    : m_settings(settings)
{
}

bool PoolVersions::Pool::hasFurtherVersion() const
{
    return lastListedAt.size() > 1 || (established && !lastListedAt.empty() && !isListed(*established));
}

void PoolVersions::awaitAnnouncements()
{
    m_awaitsAnnouncements = true;
}

void PoolVersions::noteAnnouncementsListed()
{
    m_awaitsAnnouncements = false;
}

void PoolVersions::setSeveralCallback(Callback callback)
{
    m_onSeveral = std::move(callback);
}

void PoolVersions::noteListed(const PoolId &pool, const SoftwareVersion &version, Instant now)
{
    Pool &it = m_pools[pool];
    if (it.lastListedAt.empty()) {
        it.firstListedAt = now;
    }
    const auto [known, isNew] = it.lastListedAt.insert_or_assign(version, now);
    if (!isNew) {
        return;
    }
    if (it.lastListedAt.size() == 1 && !it.isAnnounced) {
        it.assumed = version;
    }
    updateHasSeveral(pool, it);
}

void PoolVersions::updateHasSeveral(const PoolId &pool, Pool &state)
{
    const bool hadSeveral = std::exchange(state.hasSeveral, state.isAnnounced || state.hasFurtherVersion());
    m_hasSeveral = std::ranges::any_of(m_pools, [](const auto &entry) {
        return entry.second.hasSeveral;
    });
    if (!hadSeveral && state.hasSeveral && m_onSeveral) {
        m_onSeveral(pool);
    }
}

void PoolVersions::noteFirstListComplete()
{
    for (auto &[pool, it] : m_pools) {
        if (it.lastListedAt.size() > 1) {
            it.assumed.reset();
        }
    }
}

void PoolVersions::noteAnnounced(const PoolId &pool, bool wasBeforeStart, Instant now,
                                 std::optional<Instant> unannouncedAt)
{
    Pool &it = m_pools[pool];
    if (!std::exchange(it.isAnnounced, true)) {
        it.wasAnnouncedBeforeStart = wasBeforeStart;
        it.announcedAt = now;
        it.unannouncedAt = unannouncedAt;
    }
    updateHasSeveral(pool, it);
}

void PoolVersions::noteEstablished(const PoolId &pool, const SoftwareVersion &version)
{
    Pool &it = m_pools[pool];
    it.established = version;
    it.isEstablishedStored = true;
    updateHasSeveral(pool, it);
}

void PoolVersions::noteEstablishedLost(const PoolId &pool)
{
    const auto found = m_pools.find(pool);
    if (found != m_pools.end()) {
        found->second.isEstablishedStored = false;
    }
}

void PoolVersions::noteWithdrawn(const PoolId &pool)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return;
    }
    Pool &it = found->second;
    it.isAnnounced = false;
    it.unannouncedAt.reset();
    it.assumed = onlyVersion(pool);
    it.hasSeveral = false;
    updateHasSeveral(pool, it);
}

void PoolVersions::removeOld(Instant now)
{
    for (auto &[pool, it] : m_pools) {
        std::erase_if(it.lastListedAt, [&](const auto &entry) {
            return now - entry.second > m_settings.memory;
        });
        if (!it.isAnnounced && it.lastListedAt.size() == 1) {
            it.assumed = it.lastListedAt.begin()->first;
        }
        updateHasSeveral(pool, it);
    }
}

bool PoolVersions::hasSeveral(const PoolId &pool) const
{
    const Pool *it = find(pool);
    return it && it->hasSeveral;
}

std::optional<SoftwareVersion> PoolVersions::onlyVersion(const PoolId &pool) const
{
    const Pool *it = find(pool);
    return it && it->lastListedAt.size() == 1 ? std::optional(it->lastListedAt.begin()->first) : std::nullopt;
}

std::optional<SoftwareVersion> PoolVersions::established(const PoolId &pool) const
{
    const Pool *it = find(pool);
    return it ? it->established : std::nullopt;
}

std::optional<Instant> PoolVersions::soleVersionUntil(const PoolId &pool) const
{
    const Pool *it = find(pool);
    return it ? it->unannouncedAt : std::nullopt;
}

bool PoolVersions::isAnnounced(const PoolId &pool) const
{
    const Pool *it = find(pool);
    return it && it->isAnnounced;
}

bool PoolVersions::mayBegin(const PoolId &pool, const SoftwareVersion &version, Instant now) const
{
    if (m_awaitsAnnouncements) {
        return false;
    }
    if (!m_hasSeveral) {
        return true;
    }
    const Pool *it = find(pool);
    if (!it || !it->hasSeveral || isSettled(*it, now)) {
        return true;
    }
    return version == (it->established ? it->established : it->assumed);
}

// Gateways that heard of the announcement before this one started may still rely on the established version, unless
// none of its endpoints is left to continue a stream.
bool PoolVersions::isSettled(const Pool &pool, Instant now) const
{
    if (!pool.isAnnounced) {
        return false;
    }
    const bool isEstablishedListed = pool.established && pool.isListed(*pool.established);
    return now >= pool.announcedAt + m_settings.settling || (pool.wasAnnouncedBeforeStart && !isEstablishedListed);
}

bool PoolVersions::isKnownForLong(const Pool &pool, Instant now) const
{
    return now - std::max(pool.firstListedAt, pool.announcedAt) >= m_settings.memory;
}

std::vector<PoolId> PoolVersions::unannounced() const
{
    std::vector<PoolId> pools;
    for (const auto &[pool, it] : m_pools) {
        if (it.hasFurtherVersion() && !it.isAnnounced) {
            pools.push_back(pool);
        }
    }
    return pools;
}

std::vector<PoolId> PoolVersions::announcedWithoutNeed(Instant now) const
{
    std::vector<PoolId> pools;
    for (const auto &[pool, it] : m_pools) {
        if (it.isAnnounced && !it.hasFurtherVersion() && isKnownForLong(it, now)) {
            pools.push_back(pool);
        }
    }
    return pools;
}

std::vector<PoolVersion> PoolVersions::unestablished(bool isFirstStart, Instant now) const
{
    std::vector<PoolVersion> found;
    for (const auto &[pool, it] : m_pools) {
        if (it.established && !it.isEstablishedStored) {
            found.push_back({pool, *it.established});
            continue;
        }
        if (it.lastListedAt.size() != 1 || (it.established && it.isListed(*it.established))) {
            continue;
        }
        const bool isCertain = isFirstStart && !it.established && !it.isAnnounced;
        if (isCertain || isKnownForLong(it, now)) {
            found.push_back({pool, it.lastListedAt.begin()->first});
        }
    }
    return found;
}

std::vector<SoftwareVersion> PoolVersions::versions(const PoolId &pool) const
{
    std::vector<SoftwareVersion> versions;
    if (const Pool *it = find(pool)) {
        for (const auto &[version, at] : it->lastListedAt) {
            versions.push_back(version);
        }
    }
    return versions;
}

const PoolVersions::Pool *PoolVersions::find(const PoolId &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? nullptr : &it->second;
}

}
