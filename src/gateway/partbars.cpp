#include "partbars.h"

#include "base/failure.h"
#include "log.h"
#include "serving/sharedpromptformat.h"

#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("crashes");

constexpr char kRefusedField[] = "pattern";
/// A random value that makes each write a change of the object, which tells the other gateways that the bar is in use.
constexpr char kNonceField[] = "writing";

/// All gateways bar a part at about the same time. Random delays up to this let one of them write it first.
constexpr Duration kWriteSpread = std::chrono::milliseconds(500);
constexpr Duration kRetryInterval = std::chrono::seconds(1);
/// A bar that is in use is renewed at this interval, which is much shorter than the time until it expires.
constexpr Duration kRenewalInterval = std::chrono::minutes(2);
constexpr Duration kRetention = std::chrono::minutes(10);
/// Random delay before an expired announcement is removed, so that not all gateways remove it at once.
constexpr Duration kRemovalSpread = std::chrono::minutes(2);

std::string keyOf(std::uint64_t part)
{
    return kPartBarPrefix + partIdText(part);
}

std::optional<std::uint64_t> partOf(const std::string &key)
{
    return parsePartId(std::string_view(key).substr(std::char_traits<char>::length(kPartBarPrefix)));
}

absl::StatusOr<SharedPrompt> readPattern(const std::string &value)
{
    try {
        return readSharedPrompt(nlohmann::json::parse(value).at(kRefusedField));
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, e.what());
    }
}

}

PartBars::PartBars(ObjectStore &store, TimerService &timers, RandomSource &random, PoisonPartDetector &detector)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_detector(detector)
{
}

void PartBars::announce(std::uint64_t part)
{
    m_timers.after(jitter(kWriteSpread), [this, part, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired() && isDue(part)) {
            write(part);
        }
    });
}

void PartBars::withdraw(std::uint64_t part)
{
    const auto it = m_announced.find(part);
    if (it != m_announced.end()) {
        remove(part, it->second.version);
    }
}

void PartBars::noteRefused(std::uint64_t part)
{
    const auto tried = m_triedAt.find(part);
    const bool isTooSoon = tried != m_triedAt.end() && m_timers.now() - tried->second < kRetryInterval;
    if (!isTooSoon && isDue(part)) {
        write(part);
    }
}

// Also when more calls match by now than was announced.
bool PartBars::isDue(std::uint64_t part) const
{
    const std::optional<SharedPrompt> pattern = m_detector.pattern(part);
    const auto it = m_announced.find(part);
    if (!pattern || it == m_announced.end()) {
        return pattern.has_value();
    }
    return it->second.pattern != *pattern || m_timers.now() - it->second.renewedAt >= kRenewalInterval;
}

void PartBars::write(std::uint64_t part)
{
    m_triedAt[part] = m_timers.now();
    const nlohmann::json value{{kRefusedField, writeSharedPrompt(*m_detector.pattern(part))},
                               {kNonceField, m_random.freshName()}};
    const auto it = m_announced.find(part);
    m_store.put(keyOf(part), value.dump(), it == m_announced.end() ? 0 : it->second.version,
                [part](const absl::StatusOr<std::uint64_t> &at) {
                    // On a version conflict another gateway was first. After other failures the next refused call
                    // tries again.
                    if (!at.ok() && failureCode(at.status()) != FailureCode::VersionConflict) {
                        kLog.warning(
                            "barred part could not be announced",
                            {field("part", partIdText(part)), field("error", std::string(at.status().message()))});
                    }
                });
}

void PartBars::remove(std::uint64_t part, std::uint64_t version)
{
    m_store.remove(keyOf(part), version, [part](const absl::Status &status) {
        const FailureCode code = failureCode(status);
        if (!status.ok() && code != FailureCode::VersionConflict && code != FailureCode::ObjectMissing) {
            kLog.warning("announcement of a barred part could not be removed",
                         {field("part", partIdText(part)), field("error", std::string(status.message()))});
        }
    });
}

void PartBars::removeExpired()
{
    const Instant now = m_timers.now();
    for (auto &[part, announced] : m_announced) {
        if (now >= announced.removeAt) {
            announced.removeAt = now + jitter(kRemovalSpread);
            remove(part, announced.version);
        }
    }
    std::erase_if(m_triedAt, [now](const auto &entry) {
        return now - entry.second >= kRetryInterval;
    });
}

void PartBars::objectsListed(const std::vector<StoredObject> &objects)
{
    std::set<std::string> listed;
    for (const StoredObject &object : objects) {
        listed.insert(object.key);
    }
    std::vector<std::uint64_t> removed;
    for (const auto &[part, announced] : m_announced) {
        if (!listed.contains(keyOf(part))) {
            removed.push_back(part);
        }
    }
    for (const std::uint64_t part : removed) {
        forget(part);
    }
    objectsChanged(objects);
}

void PartBars::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        const std::optional<std::uint64_t> part = partOf(object.key);
        if (!part) {
            kLog.error("announcement of a barred part with an invalid name ignored", {field("key", object.key)});
            continue;
        }
        object.version == 0 ? forget(*part) : applyObject(*part, object);
    }
}

void PartBars::applyObject(std::uint64_t part, const StoredObject &object)
{
    const auto it = m_announced.find(part);
    if (it != m_announced.end() && it->second.version == object.version) {
        return;
    }
    const absl::StatusOr<SharedPrompt> pattern = readPattern(object.value);
    if (!pattern.ok()) {
        kLog.error("unreadable announcement of a barred part ignored",
                   {field("key", object.key), field("error", std::string(pattern.status().message()))});
        return;
    }
    const Instant now = m_timers.now();
    m_announced[part] = {object.version, *pattern, now, now + kRetention + jitter(kRemovalSpread)};
    m_detector.setAnnounced(part, *pattern);
}

void PartBars::forget(std::uint64_t part)
{
    m_announced.erase(part);
    m_detector.removeAnnounced(part);
}

Duration PartBars::jitter(Duration maximum)
{
    return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(maximum.count()))));
}

}
