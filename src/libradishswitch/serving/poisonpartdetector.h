#pragma once

#include "base/timerservice.h"
#include "serving/crashreport.h"
#include "serving/sharedprompt.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace RadishSwitch
{

struct PoisonPartSettings {
    /// Number of endpoints that must have crashed under a part before it is barred, if it has the share `clearShare` of
    /// all crashes since its first one and in the last `shareWindow`. Crashes under other barred parts don't count.
    int clearThreshold = 3;
    double clearShare = 0.4;
    /// The same for parts with a smaller share. Where endpoints often crash for other reasons, rare parts are in
    /// prompts at some of these crashes by chance.
    int crashThreshold = 5;
    double minimumShare = 0.25;
    Duration shareWindow = std::chrono::seconds(15);
    /// See PoisonSettings.
    Duration coincidenceWindow = std::chrono::milliseconds(500);
    int maxCoincidentCrashes = 2;
    /// How long a part must have reached the threshold before it is barred. Gateways that have seen it answered tell
    /// the others within this time.
    Duration settleTime = std::chrono::milliseconds(1000);
    /// Crashes of a part that are known to be no fault of it are kept for this time, in case further gateways report
    /// them.
    Duration duplicateLifetime = std::chrono::seconds(10);
    /// Maximum number of parts whose crashes are remembered; the oldest is forgotten first. Each takes about 500 bytes.
    std::size_t maxParts = 10'000;
    /// Maximum number of crashes of endpoints that are remembered, with or without suspects.
    std::size_t maxCrashes = 4'096;
};

/// Finds poison parts: parts of prompts that crash every endpoint that begins to answer a prompt with them, whatever
/// else the prompt contains.
///
/// Each crash makes suspects of the shared parts of all prompts that the endpoint was about to answer. A part that an
/// endpoint has answered since is exonerated of the crashes before. Sound parts are answered all the time, a poison
/// part never is, so that only the latter accumulates crashes. Crashes that a barred part explains better don't count
/// against the parts beside it.
///
/// A bar refuses no more than the evidence supports: calls that have everything in common that the crashed calls have
/// in common. If two parts, or a part and an organisation, came together in each of them, a call with only one of them
/// is let through, and its outcome tells which is the cause.
class PoisonPartDetector
{
public:
    explicit PoisonPartDetector(PoisonPartSettings settings = {});

    /// Adds a gateway's report. A crash counts once for each endpoint and part, whoever reports it. `source` identifies
    /// the report.
    void addReport(const std::string &source, const CrashReport &report, Instant now);

    /// Removes the crashes that came with a report.
    void forget(const std::string &source, Instant now);

    /// This process has seen an endpoint answer a prompt with these parts. Exonerates them of the crashes so far.
    void noteAnswered(const SharedPrompt &prompt);

    /// Whether there are exonerations by this process that other gateways need, because they may suspect the part.
    bool hasUnreported() const
    {
        return !m_unreported.empty();
    }

    /// These exonerations. They count as reported from now on.
    std::vector<ExoneratedPart> takeUnreported();

    /// Bars the parts that have been suspect for the settle time. Returns the parts barred from now on.
    std::vector<std::uint64_t> update(Instant now);

    /// When `update` has to be called; nullopt if no part is suspect.
    std::optional<Instant> nextUpdate() const;

    /// Another gateway has barred the part, perhaps because of crashes that are not known here.
    void setAnnounced(std::uint64_t part, SharedPrompt pattern);

    /// The bar by another gateway is lifted.
    void removeAnnounced(std::uint64_t part);

    /// Announced bars of parts that were found to be sound since the last call.
    std::vector<std::uint64_t> takeLifted();

    /// The part for which a call with this prompt must be refused; nullopt if it may be sent.
    std::optional<std::uint64_t> barredPart(const SharedPrompt &prompt) const;

    /// What calls have in common that are refused because of the part; nullopt if it is not barred.
    std::optional<SharedPrompt> pattern(std::uint64_t part) const;

    /// Number of crashes under the part of which it is not exonerated.
    std::size_t crashes(std::uint64_t part) const;

    std::size_t barredCount() const;

    /// Whether no part is barred or has crashes.
    bool isEmpty() const
    {
        return m_parts.empty();
    }

private:
    struct Crash {
        EndpointIncarnation incarnation;
        Instant knownAt{};
        std::string source;
        /// The prompts with the part that were interrupted.
        std::vector<SharedPrompt> prompts;
        bool isExonerated = false;
        /// The exoneration is known to the other gateways.
        bool isReported = false;
    };

    struct Part {
        /// In the order in which they became known.
        std::vector<Crash> crashes;
        /// Number of parts before this one in the prompt in which it was first seen.
        std::size_t depth = 0;
        std::optional<Instant> suspectSince;
        bool isBarredHere = false;
        std::optional<SharedPrompt> announced;
    };

    using Parts = absl::flat_hash_map<std::uint64_t, Part>;

    void note(const std::string &source, const CrashedRun &run, Instant now);
    void exonerate(const std::string &source, const ExoneratedPart &exonerated, Instant now);
    Part &partOf(std::uint64_t id, std::size_t depth);
    Crash &crashOf(std::uint64_t id, Part &part, const EndpointIncarnation &incarnation, const std::string &source,
                   Instant now);
    void removeDuplicates(std::uint64_t id, Part &part, Instant now);
    void unlink(std::uint64_t id, const EndpointIncarnation &incarnation);
    void noteExonerated(std::uint64_t id, const Part &part);
    void judge(Instant now);
    void judgePart(std::uint64_t id, Part &part, Instant now);
    std::vector<std::uint64_t> settledSuspects(Instant now) const;
    bool isSuspicious(std::uint64_t id, const Part &part, Instant now) const;
    std::vector<const Crash *> unexplainedCrashes(std::uint64_t id, const Part &part) const;
    int countedCrashes(const std::vector<const Crash *> &crashes) const;
    std::size_t crashesSince(Instant moment, std::uint64_t id) const;
    bool isCausedByOther(const EndpointIncarnation &incarnation, std::uint64_t id) const;
    void noteCrash(const EndpointIncarnation &incarnation, Instant now);
    bool isExplained(const EndpointIncarnation &incarnation, std::uint64_t id, std::size_t own, bool isBarred) const;
    static bool isOpenAt(const Part &part, const EndpointIncarnation &incarnation);
    static std::size_t openCrashes(const Part &part);
    SharedPrompt patternOf(const Part &part) const;
    void eraseIfEmpty(std::uint64_t id);
    void forgetOldest();

    const PoisonPartSettings m_settings;
    Parts m_parts;
    /// In the order in which they were first seen.
    std::deque<std::uint64_t> m_order;
    /// The parts that were in prompts at each endpoint that crashed.
    absl::flat_hash_map<EndpointIncarnation, std::vector<std::uint64_t>> m_partsAt;
    /// All endpoints that crashed, in the order in which that became known.
    std::deque<std::pair<Instant, EndpointIncarnation>> m_crashes;
    absl::flat_hash_set<EndpointIncarnation> m_crashed;
    /// Parts that have reached the threshold or are barred here.
    absl::flat_hash_set<std::uint64_t> m_suspects;
    /// Parts touched by reports since the last judgement.
    absl::flat_hash_set<std::uint64_t> m_touched;
    /// Parts with exonerations by this process that other gateways need.
    absl::flat_hash_set<std::uint64_t> m_unreported;
    std::vector<std::uint64_t> m_lifted;
};

}
