#include "serving/poolversions.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

PoolVersions::PoolVersions(PoolVersionsSettings settings)
    : m_settings(settings)
{
}

void PoolVersions::setSeveralCallback(Callback callback)
{
    m_onSeveral = std::move(callback);
}

void PoolVersions::noteListed(const PoolId &pool, const SoftwareVersion &version, Instant now)
{
    Pool &it = m_pools[pool];
    const auto [known, isNew] = it.lastListedAt.insert_or_assign(version, now);
    if (!isNew) {
        return;
    }
    if (it.lastListedAt.size() == 1 && !it.isAnnounced) {
        it.established = version;
    }
    updateHasSeveral(pool, it);
}

void PoolVersions::updateHasSeveral(const PoolId &pool, Pool &state)
{
    const bool hadSeveral = std::exchange(state.hasSeveral, state.isAnnounced || state.lastListedAt.size() > 1);
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
            it.established.reset();
        }
    }
}

void PoolVersions::noteAnnounced(const PoolId &pool, bool wasBeforeStart, Instant now)
{
    Pool &it = m_pools[pool];
    if (!std::exchange(it.isAnnounced, true)) {
        it.settledAt = wasBeforeStart ? now : now + m_settings.settling;
    }
    updateHasSeveral(pool, it);
}

void PoolVersions::noteWithdrawn(const PoolId &pool)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return;
    }
    Pool &it = found->second;
    it.isAnnounced = false;
    it.settledAt = Instant::max();
    it.established = onlyVersion(pool);
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
            it.established = it.lastListedAt.begin()->first;
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

bool PoolVersions::mayBegin(const PoolId &pool, const SoftwareVersion &version, Instant now) const
{
    if (!m_hasSeveral) {
        return true;
    }
    const Pool *it = find(pool);
    return !it || !it->hasSeveral || now >= it->settledAt || it->established == version;
}

std::vector<PoolId> PoolVersions::unannounced() const
{
    std::vector<PoolId> pools;
    for (const auto &[pool, it] : m_pools) {
        if (it.lastListedAt.size() > 1 && !it.isAnnounced) {
            pools.push_back(pool);
        }
    }
    return pools;
}

std::vector<PoolId> PoolVersions::announcedWithoutNeed() const
{
    std::vector<PoolId> pools;
    for (const auto &[pool, it] : m_pools) {
        if (it.lastListedAt.size() <= 1 && it.isAnnounced) {
            pools.push_back(pool);
        }
    }
    return pools;
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
