#include "versionreports.h"

#include "base/failure.h"
#include "log.h"

#include <nlohmann/json.hpp>

#include <set>
#include <utility>
#include <vector>

namespace RadishSwitch
{

namespace
{

const Log kLog("versions");

constexpr char kVersionsField[] = "versions";
/// Random delay up to this before a write, so that gateways which see a version at the same time do not all write it.
constexpr Duration kWriteSpread = std::chrono::milliseconds(100);
constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
/// Share of the gateways' maintenance runs that withdraw an announcement that is not needed any more.
constexpr std::uint64_t kRunsPerWithdrawal = 8;

std::string keyOf(const PoolId &pool)
{
    return kVersionPrefix + pool.value();
}

PoolId poolOf(const std::string &key)
{
    return PoolId(key.substr(std::char_traits<char>::length(kVersionPrefix)));
}

}

VersionReports::VersionReports(ObjectStore &store, TimerService &timers, RandomSource &random, PoolVersions &versions)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_versions(versions)
{
}

void VersionReports::announce()
{
    const auto spread = m_random.below(static_cast<std::uint64_t>(kWriteSpread.count()));
    scheduleAnnouncements(Duration(static_cast<Duration::rep>(spread)));
}

void VersionReports::scheduleAnnouncements(Duration delay)
{
    if (std::exchange(m_isScheduled, true)) {
        return;
    }
    m_timers.after(delay, [this, alive = std::weak_ptr<int>(m_alive)] {
        if (alive.expired()) {
            return;
        }
        m_isScheduled = false;
        for (const PoolId &pool : m_versions.unannounced()) {
            put(pool);
        }
        if (!m_versions.unannounced().empty()) {
            scheduleAnnouncements(kRetryInterval);
        }
    });
}

void VersionReports::put(const PoolId &pool)
{
    nlohmann::json versions = nlohmann::json::array();
    for (const SoftwareVersion &version : m_versions.versions(pool)) {
        versions.push_back(version.value());
    }
    const std::string value = nlohmann::json{{kVersionsField, versions}}.dump();
    m_store.put(
        keyOf(pool), value, 0,
        [this, pool, value, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<std::uint64_t> &at) {
            // On a conflict another gateway was first; the watch brings its announcement.
            if (alive.expired() || failureCode(at.status()) == FailureCode::VersionConflict) {
                return;
            }
            if (!at.ok()) {
                kLog.warning("several software versions could not be announced, trying again",
                             {field("pool", pool.value()), field("error", std::string(at.status().message()))});
                return;
            }
            kLog.info("several software versions announced", {field("pool", pool.value()), field("versions", value)});
            m_announced[pool] = *at;
            m_versions.noteAnnounced(pool, false, m_timers.now());
        });
}

void VersionReports::removeExpired()
{
    m_versions.removeOld(m_timers.now());
    for (const PoolId &pool : m_versions.announcedWithoutNeed()) {
        const auto it = m_announced.find(pool);
        if (it == m_announced.end() || m_random.below(kRunsPerWithdrawal) != 0) {
            continue;
        }
        kLog.info("announcement of several software versions withdrawn", {field("pool", pool.value())});
        m_store.remove(keyOf(pool), it->second, [pool](const absl::Status &status) {
            const FailureCode code = failureCode(status);
            if (!status.ok() && code != FailureCode::VersionConflict && code != FailureCode::ObjectMissing) {
                kLog.warning("announcement could not be withdrawn",
                             {field("pool", pool.value()), field("error", std::string(status.message()))});
            }
        });
    }
}

void VersionReports::objectsListed(const std::vector<StoredObject> &objects)
{
    const bool isFirstList = !std::exchange(m_isListed, true);
    std::set<PoolId> listed;
    for (const StoredObject &object : objects) {
        listed.insert(poolOf(object.key));
        applyObject(object, isFirstList);
    }
    std::vector<PoolId> gone;
    for (const auto &[pool, version] : m_announced) {
        if (!listed.contains(pool)) {
            gone.push_back(pool);
        }
    }
    for (const PoolId &pool : gone) {
        forget(pool);
    }
}

void VersionReports::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        object.version == 0 ? forget(poolOf(object.key)) : applyObject(object, false);
    }
}

// Only the key matters. The versions in the value are for operators.
void VersionReports::applyObject(const StoredObject &object, bool wasBeforeStart)
{
    const PoolId pool = poolOf(object.key);
    m_announced[pool] = object.version;
    m_versions.noteAnnounced(pool, wasBeforeStart, m_timers.now());
}

void VersionReports::forget(const PoolId &pool)
{
    if (m_announced.erase(pool) > 0) {
        m_versions.noteWithdrawn(pool);
    }
}

}
