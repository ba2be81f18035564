#include "serving/poisonpartdetector.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// From this number of crashes on, other gateways may soon suspect a part, so that its exoneration is reported.
constexpr int kMinimumCrashesToReport = 2;

}

PoisonPartDetector::PoisonPartDetector(PoisonPartSettings settings)
    : m_settings(settings)
{
}

void PoisonPartDetector::addReport(const std::string &source, const CrashReport &report, Instant now)
{
    for (const CrashedRun &run : report.crashed) {
        note(source, run, now);
    }
    for (const ExoneratedPart &it : report.exonerated) {
        exonerate(source, it, now);
    }
    forgetOldest();
    judge(now);
}

void PoisonPartDetector::note(const std::string &source, const CrashedRun &run, Instant now)
{
    noteCrash(run.incarnation, now);
    const std::vector<std::uint64_t> &parts = run.prompt.parts;
    for (std::size_t n = 0; n < parts.size(); ++n) {
        Part &part = partOf(parts[n], n);
        crashOf(parts[n], part, run.incarnation, source, now).prompts.push_back(run.prompt);
        removeDuplicates(parts[n], part, now);
        noteExonerated(parts[n], part);
    }
}

void PoisonPartDetector::noteCrash(const EndpointIncarnation &incarnation, Instant now)
{
    if (!m_crashed.insert(incarnation).second) {
        return;
    }
    m_crashes.emplace_back(now, incarnation);
    if (m_crashes.size() > m_settings.maxCrashes) {
        m_crashed.erase(m_crashes.front().second);
        m_crashes.pop_front();
    }
}

void PoisonPartDetector::exonerate(const std::string &source, const ExoneratedPart &exonerated, Instant now)
{
    Part &part = partOf(exonerated.part, 0);
    for (const EndpointIncarnation &incarnation : exonerated.crashes) {
        Crash &crash = crashOf(exonerated.part, part, incarnation, source, now);
        crash.isExonerated = true;
        crash.isReported = true;
    }
    removeDuplicates(exonerated.part, part, now);
    noteExonerated(exonerated.part, part);
    eraseIfEmpty(exonerated.part);
}

PoisonPartDetector::Part &PoisonPartDetector::partOf(std::uint64_t id, std::size_t depth)
{
    const auto [it, isNew] = m_parts.try_emplace(id);
    if (isNew) {
        it->second.depth = depth;
        m_order.push_back(id);
    }
    return it->second;
}

PoisonPartDetector::Crash &PoisonPartDetector::crashOf(std::uint64_t id, Part &part,
                                                       const EndpointIncarnation &incarnation,
                                                       const std::string &source, Instant now)
{
    m_touched.insert(id);
    const auto it = std::ranges::find(part.crashes, incarnation, &Crash::incarnation);
    if (it != part.crashes.end()) {
        return *it;
    }
    m_partsAt[incarnation].push_back(id);
    Crash &crash = part.crashes.emplace_back();
    crash.incarnation = incarnation;
    crash.knownAt = now;
    crash.source = source;
    return crash;
}

void PoisonPartDetector::removeDuplicates(std::uint64_t id, Part &part, Instant now)
{
    std::erase_if(part.crashes, [&](const Crash &crash) {
        const bool isOver =
            crash.isExonerated && crash.isReported && now - crash.knownAt > m_settings.duplicateLifetime;
        if (isOver) {
            unlink(id, crash.incarnation);
        }
        return isOver;
    });
}

void PoisonPartDetector::unlink(std::uint64_t id, const EndpointIncarnation &incarnation)
{
    const auto it = m_partsAt.find(incarnation);
    if (it != m_partsAt.end() && std::erase(it->second, id) > 0 && it->second.empty()) {
        m_partsAt.erase(it);
    }
}

// A single crash makes nobody suspect a part, so that its exoneration need not be reported.
void PoisonPartDetector::noteExonerated(std::uint64_t id, const Part &part)
{
    const auto isUnknownToOthers = [](const Crash &crash) {
        return crash.isExonerated && !crash.isReported;
    };
    const bool isNeeded = std::ranges::count(part.crashes, false, &Crash::isReported) >= kMinimumCrashesToReport
        && std::ranges::any_of(part.crashes, isUnknownToOthers);
    isNeeded ? void(m_unreported.insert(id)) : void(m_unreported.erase(id));
}

std::vector<ExoneratedPart> PoisonPartDetector::takeUnreported()
{
    std::vector<ExoneratedPart> taken;
    for (const std::uint64_t id : std::exchange(m_unreported, {})) {
        ExoneratedPart &it = taken.emplace_back();
        it.part = id;
        for (Crash &crash : m_parts.at(id).crashes) {
            if (crash.isExonerated && !std::exchange(crash.isReported, true)) {
                it.crashes.push_back(crash.incarnation);
            }
        }
    }
    return taken;
}

void PoisonPartDetector::noteAnswered(const SharedPrompt &prompt)
{
    for (const std::uint64_t id : prompt.parts) {
        const auto it = m_parts.find(id);
        if (it == m_parts.end()) {
            continue;
        }
        Part &part = it->second;
        for (Crash &crash : part.crashes) {
            crash.isExonerated = true;
        }
        part.isBarredHere = false;
        part.suspectSince.reset();
        m_suspects.erase(id);
        noteExonerated(id, part);
        if (std::exchange(part.announced, std::nullopt)) {
            m_lifted.push_back(id);
        }
    }
}

void PoisonPartDetector::forget(const std::string &source, Instant now)
{
    const auto isOfSource = [&source](const Crash &crash) {
        return crash.source == source;
    };
    std::vector<std::uint64_t> touched;
    for (auto &[id, part] : m_parts) {
        const std::uint64_t key = id;
        const auto removed = std::erase_if(part.crashes, [&](const Crash &crash) {
            if (isOfSource(crash)) {
                unlink(key, crash.incarnation);
            }
            return isOfSource(crash);
        });
        if (removed > 0) {
            touched.push_back(id);
        }
    }
    for (const std::uint64_t id : touched) {
        Part &part = m_parts.at(id);
        // The bar that was announced stands for as long as it is in use.
        part.isBarredHere = part.isBarredHere && isSuspicious(id, part, now);
        noteExonerated(id, part);
        eraseIfEmpty(id);
    }
}

void PoisonPartDetector::judge(Instant now)
{
    m_touched.insert(m_suspects.begin(), m_suspects.end());
    for (const std::uint64_t id : std::exchange(m_touched, {})) {
        if (const auto it = m_parts.find(id); it != m_parts.end()) {
            judgePart(id, it->second, now);
        }
    }
}

void PoisonPartDetector::judgePart(std::uint64_t id, Part &part, Instant now)
{
    if (isSuspicious(id, part, now)) {
        m_suspects.insert(id);
        part.suspectSince = part.suspectSince.value_or(now);
        return;
    }
    m_suspects.erase(id);
    part.suspectSince.reset();
    if (std::exchange(part.isBarredHere, false) && std::exchange(part.announced, std::nullopt)) {
        m_lifted.push_back(id);
    }
}

std::optional<Instant> PoisonPartDetector::nextUpdate() const
{
    std::optional<Instant> next;
    for (const std::uint64_t id : m_suspects) {
        const Part &part = m_parts.at(id);
        if (!part.isBarredHere && part.suspectSince) {
            const Instant at = *part.suspectSince + m_settings.settleTime;
            next = std::min(next.value_or(at), at);
        }
    }
    return next;
}

std::vector<std::uint64_t> PoisonPartDetector::update(Instant now)
{
    std::vector<std::uint64_t> barred;
    for (const std::uint64_t id : settledSuspects(now)) {
        Part &part = m_parts.at(id);
        if (isSuspicious(id, part, now)) {
            part.isBarredHere = true;
            barred.push_back(id);
        }
    }
    judge(now);
    return barred;
}

// The part with the most crashes comes first, since it explains the crashes of the parts that came with it. Of parts
// that always came together the last one comes first: fewer prompts have it.
std::vector<std::uint64_t> PoisonPartDetector::settledSuspects(Instant now) const
{
    std::vector<std::uint64_t> settled;
    for (const std::uint64_t id : m_suspects) {
        const Part &part = m_parts.at(id);
        if (!part.isBarredHere && part.suspectSince && now - *part.suspectSince >= m_settings.settleTime) {
            settled.push_back(id);
        }
    }
    std::ranges::sort(settled, std::greater<>(), [this](std::uint64_t id) {
        const Part &part = m_parts.at(id);
        return std::tuple(openCrashes(part), part.depth, id);
    });
    return settled;
}

// A part that is barred already need not keep its share: no prompts with it are sent, while other endpoints crash.
bool PoisonPartDetector::isSuspicious(std::uint64_t id, const Part &part, Instant now) const
{
    const std::vector<const Crash *> crashes = unexplainedCrashes(id, part);
    const int counted = countedCrashes(crashes);
    if (counted < m_settings.clearThreshold || part.isBarredHere) {
        return counted >= m_settings.clearThreshold;
    }
    const Instant since = std::min(crashes.front()->knownAt, now - m_settings.shareWindow);
    const double share = static_cast<double>(crashes.size()) / static_cast<double>(crashesSince(since, id));
    return share >= m_settings.clearShare || (counted >= m_settings.crashThreshold && share >= m_settings.minimumShare);
}

std::vector<const PoisonPartDetector::Crash *> PoisonPartDetector::unexplainedCrashes(std::uint64_t id,
                                                                                      const Part &part) const
{
    const std::size_t own = openCrashes(part);
    std::vector<const Crash *> crashes;
    for (const Crash &crash : part.crashes) {
        if (!crash.isExonerated && !isExplained(crash.incarnation, id, own, part.isBarredHere)) {
            crashes.push_back(&crash);
        }
    }
    return crashes;
}

int PoisonPartDetector::countedCrashes(const std::vector<const Crash *> &crashes) const
{
    int counted = 0;
    int inWindow = 0;
    std::optional<Instant> windowStart;
    for (const Crash *crash : crashes) {
        if (!windowStart || crash->knownAt - *windowStart > m_settings.coincidenceWindow) {
            windowStart = crash->knownAt;
            inWindow = 0;
        }
        counted += inWindow < m_settings.maxCoincidentCrashes ? 1 : 0;
        ++inWindow;
    }
    return counted;
}

std::size_t PoisonPartDetector::crashesSince(Instant moment, std::uint64_t id) const
{
    const auto first = std::ranges::lower_bound(m_crashes, moment, {}, &std::pair<Instant, EndpointIncarnation>::first);
    return static_cast<std::size_t>(std::count_if(first, m_crashes.end(), [this, id](const auto &crash) {
        return !isCausedByOther(crash.second, id);
    }));
}

bool PoisonPartDetector::isCausedByOther(const EndpointIncarnation &incarnation, std::uint64_t id) const
{
    const auto it = m_partsAt.find(incarnation);
    return it != m_partsAt.end() && std::ranges::any_of(it->second, [&](std::uint64_t other) {
               const Part &part = m_parts.at(other);
               return other != id && part.isBarredHere && isOpenAt(part, incarnation);
           });
}

// Of two parts with as many crashes the one that is barred explains the other.
bool PoisonPartDetector::isExplained(const EndpointIncarnation &incarnation, std::uint64_t id, std::size_t own,
                                     bool isBarred) const
{
    const auto it = m_partsAt.find(incarnation);
    if (it == m_partsAt.end()) {
        return false;
    }
    return std::ranges::any_of(it->second, [&](std::uint64_t other) {
        const Part &part = m_parts.at(other);
        if (other == id || !part.isBarredHere || !isOpenAt(part, incarnation)) {
            return false;
        }
        const std::size_t crashes = openCrashes(part);
        return crashes > own || (crashes == own && !isBarred);
    });
}

bool PoisonPartDetector::isOpenAt(const Part &part, const EndpointIncarnation &incarnation)
{
    const auto it = std::ranges::find(part.crashes, incarnation, &Crash::incarnation);
    return it != part.crashes.end() && !it->isExonerated;
}

std::size_t PoisonPartDetector::openCrashes(const Part &part)
{
    return static_cast<std::size_t>(std::ranges::count(part.crashes, false, &Crash::isExonerated));
}

void PoisonPartDetector::setAnnounced(std::uint64_t part, SharedPrompt pattern)
{
    partOf(part, 0).announced = std::move(pattern);
    forgetOldest();
}

void PoisonPartDetector::removeAnnounced(std::uint64_t part)
{
    if (const auto it = m_parts.find(part); it != m_parts.end()) {
        it->second.announced.reset();
        eraseIfEmpty(part);
    }
}

std::vector<std::uint64_t> PoisonPartDetector::takeLifted()
{
    return std::exchange(m_lifted, {});
}

std::optional<std::uint64_t> PoisonPartDetector::barredPart(const SharedPrompt &prompt) const
{
    for (const std::uint64_t id : prompt.parts) {
        const std::optional<SharedPrompt> refused = pattern(id);
        if (refused && matches(*refused, prompt)) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<SharedPrompt> PoisonPartDetector::pattern(std::uint64_t part) const
{
    const auto it = m_parts.find(part);
    if (it == m_parts.end()) {
        return std::nullopt;
    }
    return it->second.isBarredHere ? patternOf(it->second) : it->second.announced;
}

SharedPrompt PoisonPartDetector::patternOf(const Part &part) const
{
    std::optional<SharedPrompt> common;
    std::vector<EndpointIncarnation> open;
    for (const Crash &crash : part.crashes) {
        if (crash.isExonerated) {
            continue;
        }
        open.push_back(crash.incarnation);
        for (const SharedPrompt &prompt : crash.prompts) {
            common = common ? commonPart(*common, prompt) : prompt;
        }
    }
    SharedPrompt pattern = common.value_or(SharedPrompt());
    // A part that was answered since one of the crashes had no share in it.
    std::erase_if(pattern.parts, [&](std::uint64_t id) {
        const auto it = m_parts.find(id);
        return it == m_parts.end() || !std::ranges::all_of(open, [&](const EndpointIncarnation &incarnation) {
                   return isOpenAt(it->second, incarnation);
               });
    });
    return pattern;
}

std::size_t PoisonPartDetector::crashes(std::uint64_t part) const
{
    const auto it = m_parts.find(part);
    return it == m_parts.end() ? 0 : openCrashes(it->second);
}

std::size_t PoisonPartDetector::barredCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_parts, [](const auto &entry) {
        return entry.second.isBarredHere || entry.second.announced;
    }));
}

void PoisonPartDetector::eraseIfEmpty(std::uint64_t id)
{
    const auto it = m_parts.find(id);
    if (it != m_parts.end() && it->second.crashes.empty() && !it->second.announced) {
        m_suspects.erase(id);
        m_unreported.erase(id);
        m_parts.erase(it);
    }
}

// m_order still holds parts that were erased. Erasing them again has no effect. Barred parts are kept: a caller that
// invents new parts all the time must not make the gateway forget them.
void PoisonPartDetector::forgetOldest()
{
    for (std::size_t left = m_order.size(); left > 0 && m_order.size() > m_settings.maxParts; --left) {
        const std::uint64_t id = m_order.front();
        m_order.pop_front();
        const auto it = m_parts.find(id);
        if (it == m_parts.end()) {
            continue;
        }
        if (it->second.isBarredHere || it->second.announced) {
            m_order.push_back(id);
            continue;
        }
        for (const Crash &crash : it->second.crashes) {
            unlink(id, crash.incarnation);
        }
        it->second = Part();
        eraseIfEmpty(id);
    }
}

}
