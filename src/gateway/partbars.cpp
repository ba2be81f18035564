#include "partbars.h"

#include "base/boundedtext.h"
#include "base/failure.h"
#include "log.h"
#include "serving/sharedpromptformat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("crashes");

constexpr char kRefusedField[] = "pattern";
constexpr char kTrialsField[] = "trials";
/// A random value that makes each write a change of the object, which tells the other gateways that the bar is in use.
constexpr char kNonceField[] = "writing";

/// All gateways bar a part at about the same time. Random delays up to this let one of them write it first.
constexpr Duration kWriteSpread = std::chrono::milliseconds(500);
constexpr Duration kRetryInterval = std::chrono::seconds(1);
/// A bar that is in use is renewed at this interval, which is much shorter than the time until it expires.
constexpr Duration kRenewalInterval = std::chrono::minutes(2);
/// Time until the first trial of a barred part; the time until each further one is ten times as long.
constexpr Duration kFirstTrialDelay = std::chrono::minutes(1);
constexpr int kTrialDelayFactor = 10;
constexpr int kMaximumTrialDelays = 4;
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

struct PartBar {
    SharedPrompt pattern;
    int trials = 0;
};

absl::StatusOr<PartBar> readPartBar(const std::string &value)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(value);
        absl::StatusOr<SharedPrompt> pattern = readSharedPrompt(json.at(kRefusedField));
        if (!pattern.ok()) {
            return pattern.status();
        }
        return PartBar{std::move(*pattern), std::max(json.at(kTrialsField).get<int>(), 0)};
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, boundedText(e.what()));
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

// Also when more calls match by now than was announced. A gateway that knows of fewer crashes keeps the wider pattern
// of the others, so that gateways do not overwrite each other in turn.
bool PartBars::isDue(std::uint64_t part) const
{
    const std::optional<SharedPrompt> pattern = m_detector.pattern(part);
    const auto it = m_announced.find(part);
    if (!pattern || it == m_announced.end()) {
        return pattern.has_value();
    }
    const bool isWider = *pattern != it->second.pattern && matches(*pattern, it->second.pattern);
    return isWider || m_timers.now() - it->second.renewedAt >= kRenewalInterval || isTrialDue(it->second);
}

bool PartBars::isTrialDue(const Announced &announced) const
{
    Duration delay = kFirstTrialDelay;
    for (int n = 0; n < std::min(announced.trials, kMaximumTrialDelays); ++n) {
        delay *= kTrialDelayFactor;
    }
    return m_timers.now() - announced.trialsSince >= delay;
}

bool PartBars::takeTrial(std::uint64_t part)
{
    return m_trials.erase(part) > 0;
}

void PartBars::write(std::uint64_t part)
{
    m_triedAt[part] = m_timers.now();
    const auto it = m_announced.find(part);
    const bool isTrial = it != m_announced.end() && isTrialDue(it->second);
    const int trials = it == m_announced.end() ? 0 : it->second.trials + (isTrial ? 1 : 0);
    const nlohmann::json value{{kRefusedField, writeSharedPrompt(*m_detector.pattern(part))},
                               {kTrialsField, trials},
                               {kNonceField, m_random.freshName()}};
    m_store.put(keyOf(part), value.dump(), it == m_announced.end() ? 0 : it->second.version,
                [this, part, isTrial, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<std::uint64_t> &at) {
                    // Only one gateway can write a version, so that the fleet makes one trial.
                    if (at.ok() && isTrial && !alive.expired()) {
                        kLog.info("one call with a barred part is let through", {field("part", partIdText(part))});
                        m_trials.insert(part);
                    }
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
    const absl::StatusOr<PartBar> bar = readPartBar(object.value);
    if (!bar.ok()) {
        kLog.error("unreadable announcement of a barred part ignored",
                   {field("key", object.key), field("error", std::string(bar.status().message()))});
        return;
    }
    const Instant now = m_timers.now();
    const bool isKnownTrial = it != m_announced.end() && it->second.trials == bar->trials;
    const Instant trialsSince = isKnownTrial ? it->second.trialsSince : now;
    m_announced[part] = {object.version, bar->pattern, bar->trials,
                         trialsSince,    now,          now + kRetention + jitter(kRemovalSpread)};
    m_detector.setAnnounced(part, bar->pattern);
}

void PartBars::forget(std::uint64_t part)
{
    m_announced.erase(part);
    m_trials.erase(part);
    m_detector.removeAnnounced(part);
}

Duration PartBars::jitter(Duration maximum)
{
    return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(maximum.count()))));
}

}
