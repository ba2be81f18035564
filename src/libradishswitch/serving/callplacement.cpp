#include "serving/callplacement.h"

#include "base/rendezvous.h"
#include "serving/cheapestendpoint.h"
#include "serving/needcost.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace RadishSwitch
{

namespace
{

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Number of parts that other calls may share: all but the last, which belongs to this call or its session only.
std::size_t sharedParts(const std::vector<PromptPart> &parts)
{
    return parts.empty() ? 0 : parts.size() - 1;
}

}

CallPlacement::Prompt::Prompt(const std::vector<PromptPart> &parts)
    : tokensFrom(parts.size() + 1)
{
    prefixHashes.reserve(parts.size());
    std::uint64_t hash = 0;
    for (const PromptPart &part : parts) {
        hash = rendezvousScore(part.id, hash);
        prefixHashes.push_back(hash);
    }
    for (std::size_t n = parts.size(); n > 0; --n) {
        tokensFrom[n - 1] = tokensFrom[n] + parts[n - 1].tokens;
    }
}

CallPlacement::CallPlacement(EndpointRegistry &registry, const EndpointAdmission &admission, RandomSource &random,
                             std::string ownZone, PlacementSettings settings)
    : m_registry(registry)
    , m_admission(admission)
    , m_random(random)
    , m_ownZone(std::move(ownZone))
    , m_settings(settings)
    , m_ranking(registry)
{
}

std::optional<EndpointSlot> CallPlacement::choose(const PlacementQuery &query, Instant now)
{
    if (const auto slot = cheapest(query, SelectionMode::Preferred, now)) {
        return slot;
    }
    const std::vector<EndpointSlot> &slots = m_registry.pool(query.pool);
    const bool isPreferredBusy = std::ranges::any_of(slots, [&](EndpointSlot slot) {
        const RegisteredEndpoint &it = m_registry.at(slot);
        return m_admission.isHealthy(slot, query, now) && (it.inFlight > 0 || it.backoff.isActive(now));
    });
    return isPreferredBusy ? std::nullopt : cheapest(query, SelectionMode::LastResort, now);
}

bool CallPlacement::hasOpenEndpoint(const PlacementQuery &query, Instant now) const
{
    return std::ranges::any_of(m_registry.pool(query.pool), [&](EndpointSlot slot) {
        return m_admission.isOpen(slot, query, now);
    });
}

std::optional<Duration> CallPlacement::untilBackoffEnds(const PlacementQuery &query, Instant now) const
{
    std::optional<Instant> first;
    for (const EndpointSlot slot : m_registry.pool(query.pool)) {
        if (!m_admission.isOpen(slot, query, now)) {
            continue;
        }
        const EndpointBackoff &backoff = m_registry.at(slot).backoff;
        if (!backoff.isActive(now)) {
            return std::nullopt;
        }
        first = std::min(first.value_or(backoff.retryAt()), backoff.retryAt());
    }
    return first ? std::optional<Duration>(*first - now) : std::nullopt;
}

bool CallPlacement::isLimitedByAllowances(const PlacementQuery &query, Instant now) const
{
    return std::ranges::any_of(m_registry.pool(query.pool), [&](EndpointSlot slot) {
        return m_admission.admission(slot, query, now) == Admission::ShareUsedUp;
    });
}

bool CallPlacement::isCandidate(EndpointSlot slot, const PlacementQuery &query, SelectionMode mode, Instant now) const
{
    const Admission admission = m_admission.admission(slot, query, now);
    const bool isLastResort = admission == Admission::Ejected || admission == Admission::Suspect;
    return admission == Admission::Allowed || (mode == SelectionMode::LastResort && isLastResort);
}

std::optional<EndpointSlot> CallPlacement::cheapest(const PlacementQuery &query, SelectionMode mode, Instant now)
{
    if (isPlacedByNeed(query)) {
        return cheapestByNeed(query, mode, now);
    }
    const std::optional<EndpointSlot> affinity = affinityEndpoint(query, mode, now);
    const Prompt prompt(query.parts);
    CheapestEndpoint cheapest(m_random);
    for (const EndpointSlot slot : m_registry.pool(query.pool)) {
        if (isCandidate(slot, query, mode, now)) {
            cheapest.add(slot, cost(slot, query, prompt, affinity, now));
        }
    }
    return cheapest.slot();
}

// Rendezvous hashing over all candidates: when an endpoint leaves, only the prompts assigned to it move.
std::optional<EndpointSlot> CallPlacement::affinityEndpoint(const PlacementQuery &query, SelectionMode mode,
                                                            Instant now) const
{
    const std::size_t shared = sharedParts(query.parts);
    if (shared == 0 || m_settings.hasNoAffinity) {
        return std::nullopt;
    }
    const std::uint64_t key = query.parts[shared - 1].id;
    std::optional<EndpointSlot> affinity;
    std::uint64_t best = 0;
    for (const EndpointSlot slot : m_registry.pool(query.pool)) {
        const bool isEligible = mode == SelectionMode::Preferred ? m_admission.isHealthy(slot, query, now)
                                                                 : m_admission.isOpen(slot, query, now);
        if (!isEligible || m_registry.at(slot).backoff.isActive(now)) {
            continue;
        }
        const std::uint64_t score = rendezvousScore(m_registry.at(slot).hash, key);
        if (!affinity || score > best) {
            affinity = slot;
            best = score;
        }
    }
    return affinity;
}

std::int64_t CallPlacement::tokensToPrefill(EndpointSlot slot, const Prompt &prompt) const
{
    return prompt.tokensFrom[m_hints.cachedBlocks(slot, prompt.prefixHashes)];
}

double CallPlacement::cost(EndpointSlot slot, const PlacementQuery &query, const Prompt &prompt,
                           std::optional<EndpointSlot> affinity, Instant now) const
{
    const RegisteredEndpoint &it = m_registry.at(slot);
    std::int64_t toPrefill = tokensToPrefill(slot, prompt);
    const std::int64_t own = prompt.tokensFrom[sharedParts(query.parts)];
    // Other gateways send calls with this prefix to its affinity endpoint. Its cache is assumed to hold the prefix even
    // if this process has not sent it there.
    if (affinity == slot) {
        toPrefill = std::min(toPrefill, own);
    }
    const double reread = m_settings.rereadFactor * static_cast<double>(std::max<std::int64_t>(toPrefill - own, 0));
    const double tokens = static_cast<double>(toPrefill + it.pendingPrefillTokens) + reread;
    const double batch = static_cast<double>(it.inFlight) / std::max(it.inFlightLimit, 1.0);
    const double zone = it.listing.zone == m_ownZone ? 0 : seconds(m_settings.zoneDistance);
    return tokens / prefillTokensPerSecond(query.pool) + batch * seconds(m_settings.fullBatch) + zone
        + delaySeconds(it, now);
}

double CallPlacement::delaySeconds(const RegisteredEndpoint &endpoint, Instant now) const
{
    if (endpoint.delaySeconds <= 0) {
        return 0;
    }
    return endpoint.delaySeconds * std::exp2(-seconds(now - endpoint.delayNotedAt) / seconds(m_settings.delayHalfLife));
}

double CallPlacement::prefillTokensPerSecond(const PoolId &pool) const
{
    const auto it = m_speeds.find(pool);
    return it == m_speeds.end() || m_settings.hasFixedSpeed ? m_settings.prefillTokensPerSecond
                                                            : it->second.tokensPerSecond();
}

// A single slow endpoint needs no shedding, since placement avoids it. Only if even the least loaded endpoint answers
// late does the pool have more work than it can do in time.
double CallPlacement::overload(const PlacementQuery &query, Instant now) const
{
    std::optional<double> least;
    for (const EndpointSlot slot : m_registry.pool(query.pool)) {
        if (isCandidate(slot, query, SelectionMode::Preferred, now)) {
            const double overload = m_registry.at(slot).overload.refusalShare(now);
            least = least ? std::min(*least, overload) : overload;
        }
    }
    return least.value_or(0);
}

void CallPlacement::noteOverload(EndpointSlot slot, bool isLate, Instant now)
{
    m_registry.at(slot).overload.noteAnswer(isLate, now);
}

std::int64_t CallPlacement::noteSent(EndpointSlot slot, const PlacementQuery &query, Instant now)
{
    RegisteredEndpoint &it = m_registry.at(slot);
    const Prompt prompt(query.parts);
    const std::int64_t prefillTokens = tokensToPrefill(slot, prompt);
    m_hints.noteDispatched(slot, prompt.prefixHashes);
    if (const auto separation = m_separations.find(query.pool); separation != m_separations.end()) {
        separation->second.noteSent(prompt.tokensFrom.front(), prefillTokens, now);
    }
    it.inFlight += 1;
    it.pendingPrefillTokens += prefillTokens;
    it.ejection.noteDispatched(now);
    if (m_registry.isCold(slot, now)) {
        it.coldCalls.note(now);
    }
    if (m_registry.isLimited(slot, now)) {
        it.limitedCalls.note(now);
    }
    return prefillTokens;
}

void CallPlacement::notePrefilled(EndpointSlot slot, std::int64_t prefillTokens)
{
    RegisteredEndpoint &it = m_registry.at(slot);
    it.pendingPrefillTokens = std::max<std::int64_t>(it.pendingPrefillTokens - prefillTokens, 0);
}

void CallPlacement::noteFirstAnswer(EndpointSlot slot, std::int64_t prefillTokens, Duration taken, Instant now)
{
    RegisteredEndpoint &it = m_registry.at(slot);
    const double speed = relativeSpeed(slot, now);
    const double expected = static_cast<double>(prefillTokens) / (prefillTokensPerSecond(it.listing.pool) * speed);
    const double late = std::max(seconds(taken) - expected, 0.0);
    const double before = delaySeconds(it, now);
    it.delaySeconds = before + m_settings.delayStep * (late - before);
    it.delayNotedAt = now;
    PrefillSpeedSettings learning;
    learning.assumed = m_settings.prefillTokensPerSecond;
    // The speed of the pool is that of its median endpoint.
    const auto takenByMedian = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(taken) * speed);
    m_speeds.try_emplace(it.listing.pool, learning).first->second.note(prefillTokens, takenByMedian, now);
}

void CallPlacement::noteEnded(EndpointSlot slot, RunEnd end, Instant now)
{
    RegisteredEndpoint &it = m_registry.at(slot);
    const double fullLimit = std::max(it.listing.slots, 1);
    const bool wasAtLimit = it.inFlight >= static_cast<int>(it.inFlightLimit);
    it.inFlight -= 1;
    switch (end) {
    case RunEnd::Ok:
        if (wasAtLimit) {
            it.inFlightLimit = std::min(
                fullLimit, it.inFlightLimit + (it.inFlightLimit < it.fastGrowthLimit ? 1 : 1 / it.inFlightLimit));
        }
        it.ejection.noteSucceeded(m_settings.ejection, now);
        return;
    case RunEnd::Refused:
        // The endpoint is full with the calls of other gateways: halve the limit until it accepts calls again.
        it.inFlightLimit = std::max(m_settings.minimumLimit, it.inFlightLimit / 2);
        it.pause.noteRefused(m_settings.pause, now);
        it.ejection.noteNeutral();
        return;
    case RunEnd::Cancelled:
        it.ejection.noteNeutral();
        return;
    case RunEnd::Failed:
        noteFailed(slot, now);
        return;
    }
}

bool CallPlacement::noteBackoff(EndpointSlot slot, Duration backoff, std::size_t gateways, Instant now)
{
    RegisteredEndpoint &it = m_registry.at(slot);
    const bool wasBackedOff = it.backoff.isActive(now);
    if (!it.backoff.extend(backoff, gateways, m_random.fraction(), now, m_settings.backoff)) {
        return false;
    }
    if (!wasBackedOff) {
        it.fastGrowthLimit = it.inFlightLimit / 2;
        it.inFlightLimit = m_settings.minimumLimit;
    }
    return true;
}

void CallPlacement::noteAccepted(EndpointSlot slot, Instant sentAt)
{
    m_registry.at(slot).backoff.noteAccepted(sentAt);
    m_registry.at(slot).pause.noteAccepted(sentAt);
}

void CallPlacement::noteFailed(EndpointSlot slot, Instant now)
{
    if (m_registry.at(slot).ejection.noteFailed(m_settings.ejection, now)) {
        ejectUnlessTooMany(slot, now);
    }
}

void CallPlacement::noteCrashed(EndpointSlot slot, Instant now)
{
    if (!m_registry.at(slot).ejection.isEjected(now)) {
        ejectUnlessTooMany(slot, now);
    }
}

// When most endpoints of a pool fail, the cause is rarely in the endpoints themselves, and ejecting all of them would
// turn the fault into an outage.
void CallPlacement::ejectUnlessTooMany(EndpointSlot slot, Instant now)
{
    const std::vector<EndpointSlot> &slots = m_registry.pool(m_registry.at(slot).listing.pool);
    const auto current = std::ranges::count_if(slots, [&](EndpointSlot other) {
        return !m_registry.at(other).isEarlierIncarnation;
    });
    const auto ejected = std::ranges::count_if(slots, [&](EndpointSlot other) {
        return m_registry.at(other).ejection.isEjected(now);
    });
    if (static_cast<double>(ejected + 1) <= m_settings.ejection.maximumEjectedShare * static_cast<double>(current)) {
        m_registry.at(slot).ejection.eject(m_settings.ejection, now);
    }
}

void CallPlacement::forget(EndpointSlot slot)
{
    m_hints.removeEndpoint(slot);
}

Duration CallPlacement::expectedFirstAnswer(EndpointSlot slot, const PlacementQuery &query, Instant now) const
{
    const RegisteredEndpoint &it = m_registry.at(slot);
    const double tokens = static_cast<double>(tokensToPrefill(slot, Prompt(query.parts)) + it.pendingPrefillTokens);
    const double speed = prefillTokensPerSecond(query.pool) * relativeSpeed(slot, now);
    const double span = tokens / speed + delaySeconds(it, now);
    return Duration(static_cast<Duration::rep>(span * 1e6));
}

}
