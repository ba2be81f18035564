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
constexpr char kVersionField[] = "software_version";
/// Random delay up to this before a write, so that gateways which see a version at the same time do not all write it.
constexpr Duration kWriteSpread = std::chrono::milliseconds(100);
/// The same for established versions, of which nobody has need at once.
constexpr Duration kEstablishSpread = std::chrono::seconds(1);
constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
/// Share of the gateways' maintenance runs that withdraw an announcement that is not needed any more.
constexpr std::uint64_t kRunsPerWithdrawal = 8;

std::string keyOf(const PoolId &pool)
{
    return kVersionPrefix + pool.value();
}

std::string establishedKeyOf(const PoolId &pool)
{
    return kEstablishedVersionPrefix + pool.value();
}

bool isEstablishedKey(const std::string &key)
{
    return key.starts_with(kEstablishedVersionPrefix);
}

PoolId poolOf(const std::string &key)
{
    const char *prefix = isEstablishedKey(key) ? kEstablishedVersionPrefix : kVersionPrefix;
    return PoolId(key.substr(std::char_traits<char>::length(prefix)));
}

std::optional<Instant> asOptional(Instant at)
{
    return at == Instant::min() ? std::nullopt : std::optional(at);
}

absl::StatusOr<SoftwareVersion> readEstablished(const std::string &value)
{
    const nlohmann::json object = nlohmann::json::parse(value, nullptr, false);
    const auto version = object.is_object() ? object.find(kVersionField) : object.end();
    if (version == object.end() || !version->is_string()) {
        return makeFailure(FailureCode::ObjectMalformed, "no software version");
    }
    return SoftwareVersion(version->get<std::string>());
}

}

VersionReports::VersionReports(ObjectStore &store, TimerService &timers, RandomSource &random, PoolVersions &versions,
                               Inputs inputs)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_versions(versions)
    , m_inputs(std::move(inputs))
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
            m_versions.noteAnnounced(pool, false, m_timers.now(), asOptional(m_inputs.confirmedAt()));
        });
}

std::vector<PoolVersion> VersionReports::unestablished() const
{
    std::vector<PoolVersion> found = m_versions.unestablished(m_inputs.isFirstStart, m_timers.now());
    std::erase_if(found, [this](const PoolVersion &it) {
        return !m_inputs.isResumable(it.pool);
    });
    return found;
}

void VersionReports::establish()
{
    if (!m_isListed || m_isEstablishing || unestablished().empty()) {
        return;
    }
    m_isEstablishing = true;
    const auto spread = m_random.below(static_cast<std::uint64_t>(kEstablishSpread.count()));
    m_timers.after(Duration(static_cast<Duration::rep>(spread)), [this, alive = std::weak_ptr<int>(m_alive)] {
        if (alive.expired()) {
            return;
        }
        m_isEstablishing = false;
        for (const PoolVersion &it : unestablished()) {
            putEstablished(it);
        }
    });
}

void VersionReports::putEstablished(const PoolVersion &established)
{
    const std::string value = nlohmann::json{{kVersionField, established.version.value()}}.dump();
    const auto known = m_established.find(established.pool);
    m_store.put(establishedKeyOf(established.pool), value, known == m_established.end() ? 0 : known->second,
                [this, established, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<std::uint64_t> &at) {
                    // On a conflict another gateway was first; the watch brings what it wrote.
                    if (alive.expired() || failureCode(at.status()) == FailureCode::VersionConflict) {
                        return;
                    }
                    if (!at.ok()) {
                        kLog.warning("established software version could not be written",
                                     {field("pool", established.pool.value()),
                                      field("error", std::string(at.status().message()))});
                        return;
                    }
                    kLog.info("software version established",
                              {field("pool", established.pool.value()),
                               field("software_version", established.version.value())});
                    m_established[established.pool] = *at;
                    m_versions.noteEstablished(established.pool, established.version);
                });
}

void VersionReports::removeExpired()
{
    m_versions.removeOld(m_timers.now());
    establish();
    for (const PoolId &pool : m_versions.announcedWithoutNeed(m_timers.now())) {
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
    for (const StoredObject &object : objects) {
        applyObject(object, isFirstList);
    }
    forgetUnlisted(objects);
    m_versions.noteAnnouncementsListed();
}

void VersionReports::forgetUnlisted(const std::vector<StoredObject> &objects)
{
    std::set<std::string> listed;
    for (const StoredObject &object : objects) {
        listed.insert(object.key);
    }
    std::vector<PoolId> withdrawn;
    for (const auto &[pool, version] : m_announced) {
        if (!listed.contains(keyOf(pool))) {
            withdrawn.push_back(pool);
        }
    }
    for (const PoolId &pool : withdrawn) {
        forgetAnnouncement(pool);
    }
    std::vector<PoolId> lost;
    for (const auto &[pool, version] : m_established) {
        if (!listed.contains(establishedKeyOf(pool))) {
            lost.push_back(pool);
        }
    }
    for (const PoolId &pool : lost) {
        forgetEstablished(pool);
    }
}

void VersionReports::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        applyObject(object, false);
    }
}

void VersionReports::applyObject(const StoredObject &object, bool wasBeforeStart)
{
    const bool isRemoved = object.version == 0;
    if (isEstablishedKey(object.key)) {
        isRemoved ? forgetEstablished(poolOf(object.key)) : applyEstablished(object);
    } else {
        isRemoved ? forgetAnnouncement(poolOf(object.key)) : applyAnnouncement(object, wasBeforeStart);
    }
}

// Only the key matters. The versions in the value are for operators.
void VersionReports::applyAnnouncement(const StoredObject &object, bool wasBeforeStart)
{
    const PoolId pool = poolOf(object.key);
    m_announced[pool] = object.version;
    m_versions.noteAnnounced(pool, wasBeforeStart, m_timers.now(), asOptional(m_inputs.previouslyConfirmedAt()));
}

void VersionReports::applyEstablished(const StoredObject &object)
{
    const PoolId pool = poolOf(object.key);
    const absl::StatusOr<SoftwareVersion> version = readEstablished(object.value);
    m_established[pool] = object.version;
    if (!version.ok()) {
        kLog.error("established software version can't be read",
                   {field("pool", pool.value()), field("error", std::string(version.status().message()))});
        return m_versions.noteEstablishedLost(pool);
    }
    m_versions.noteEstablished(pool, *version);
}

void VersionReports::forgetAnnouncement(const PoolId &pool)
{
    if (m_announced.erase(pool) > 0) {
        m_versions.noteWithdrawn(pool);
    }
}

void VersionReports::forgetEstablished(const PoolId &pool)
{
    if (m_established.erase(pool) > 0) {
        m_versions.noteEstablishedLost(pool);
    }
}

}
