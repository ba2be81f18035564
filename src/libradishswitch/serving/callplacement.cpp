#include "serving/callplacement.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Costs that differ by less than this many seconds count as equal, and chance decides, so that processes do not all
/// take the same endpoint.
constexpr double kTolerance = 0.002;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Parts that other calls have as well: all but the last, which is the call's own or its session's.
std::size_t sharedParts(const std::vector<PromptPart> &parts)
{
    return parts.empty() ? 0 : parts.size() - 1;
}

}

CallPlacement::Prompt::Prompt(const std::vector<PromptPart> &parts)
    : tokensFrom(parts.size() + 1)
{
    chain.reserve(parts.size());
    std::uint64_t hash = 0;
    for (const PromptPart &part : parts) {
        hash = rendezvousScore(part.id, hash);
        chain.push_back(hash);
    }
    for (std::size_t n = parts.size(); n > 0; --n) {
        tokensFrom[n - 1] = tokensFrom[n] + parts[n - 1].tokens;
    }
}

CallPlacement::CallPlacement(EndpointRoster &roster, const EndpointAdmission &admission, RandomSource &random,
                             std::string ownZone, PlacementSettings settings)
    : m_roster(roster)
    , m_admission(admission)
    , m_random(random)
    , m_ownZone(std::move(ownZone))
    , m_settings(settings)
{
}

std::optional<EndpointSlot> CallPlacement::choose(const PlacementQuery &query, Instant now)
{
    if (const auto slot = cheapest(query, Choosiness::Usual, now)) {
        return slot;
    }
    const std::vector<EndpointSlot> &slots = m_roster.pool(query.pool);
    const bool isUsualBusy = std::ranges::any_of(slots, [&](EndpointSlot slot) {
        const RosterEndpoint &it = m_roster.at(slot);
        return m_admission.isInUse(slot, query, now) && (it.inFlight > 0 || it.backoff.isOn(now));
    });
    return isUsualBusy ? std::nullopt : cheapest(query, Choosiness::AnyAlive, now);
}

bool CallPlacement::hasUsable(const PlacementQuery &query, Instant now) const
{
    return std::ranges::any_of(m_roster.pool(query.pool), [&](EndpointSlot slot) {
        return m_admission.isOpen(slot, query, now);
    });
}

std::optional<Duration> CallPlacement::untilBackoffEnds(const PlacementQuery &query, Instant now) const
{
    std::optional<Instant> first;
    for (const EndpointSlot slot : m_roster.pool(query.pool)) {
        if (!m_admission.isOpen(slot, query, now)) {
            continue;
        }
        const EndpointBackoff &backoff = m_roster.at(slot).backoff;
        if (!backoff.isOn(now)) {
            return std::nullopt;
        }
        first = std::min(first.value_or(backoff.returnAt()), backoff.returnAt());
    }
    return first ? std::optional<Duration>(*first - now) : std::nullopt;
}

bool CallPlacement::isHeldByAllowances(const PlacementQuery &query, Instant now) const
{
    return std::ranges::any_of(m_roster.pool(query.pool), [&](EndpointSlot slot) {
        return m_admission.admission(slot, query, now) == Admission::PartUsedUp;
    });
}

bool CallPlacement::isCandidate(EndpointSlot slot, const PlacementQuery &query, Choosiness choosiness,
                                Instant now) const
{
    const Admission admission = m_admission.admission(slot, query, now);
    const bool isLastResort = admission == Admission::Ejected || admission == Admission::Doubtful;
    return admission == Admission::Allowed || (choosiness == Choosiness::AnyAlive && isLastResort);
}

std::optional<EndpointSlot> CallPlacement::cheapest(const PlacementQuery &query, Choosiness choosiness, Instant now)
{
    const std::optional<EndpointSlot> home = homeOf(query, choosiness, now);
    const Prompt prompt(query.parts);
    const std::vector<EndpointSlot> &slots = m_roster.pool(query.pool);
    std::optional<EndpointSlot> best;
    double bestCost = 0;
    std::uint64_t equals = 0;
    for (const EndpointSlot slot : slots) {
        if (!isCandidate(slot, query, choosiness, now)) {
            continue;
        }
        const double slotCost = cost(slot, query, prompt, home, now);
        if (!best || slotCost < bestCost - kTolerance) {
            best = slot;
            bestCost = slotCost;
            equals = 1;
        } else if (slotCost < bestCost + kTolerance && m_random.below(++equals) == 0) {
            best = slot;
            bestCost = std::min(bestCost, slotCost);
        }
    }
    return best;
}

// Rendezvous hashing over all candidates: when an endpoint goes, only the prompts that met there move.
std::optional<EndpointSlot> CallPlacement::homeOf(const PlacementQuery &query, Choosiness choosiness, Instant now) const
{
    const std::size_t shared = sharedParts(query.parts);
    if (shared == 0 || m_settings.hasNoAffinity) {
        return std::nullopt;
    }
    const std::uint64_t key = query.parts[shared - 1].id;
    std::optional<EndpointSlot> home;
    std::uint64_t best = 0;
    for (const EndpointSlot slot : m_roster.pool(query.pool)) {
        const bool isEligible = choosiness == Choosiness::Usual ? m_admission.isInUse(slot, query, now)
                                                                : m_admission.isOpen(slot, query, now);
        if (!isEligible || m_roster.at(slot).backoff.isOn(now)) {
            continue;
        }
        const std::uint64_t score = rendezvousScore(m_roster.at(slot).hash, key);
        if (!home || score > best) {
            home = slot;
            best = score;
        }
    }
    return home;
}

std::int64_t CallPlacement::tokensToRead(EndpointSlot slot, const Prompt &prompt) const
{
    return prompt.tokensFrom[m_hints.cachedBlocks(slot, prompt.chain)];
}

double CallPlacement::cost(EndpointSlot slot, const PlacementQuery &query, const Prompt &prompt,
                           std::optional<EndpointSlot> home, Instant now) const
{
    const RosterEndpoint &it = m_roster.at(slot);
    std::int64_t toRead = tokensToRead(slot, prompt);
    const std::int64_t own = prompt.tokensFrom[sharedParts(query.parts)];
    // Other processes send their calls with this part to its home, so that it has read the part also where this process
    // has not been told so.
    if (home == slot) {
        toRead = std::min(toRead, own);
    }
    const double reread = m_settings.rereadFactor * static_cast<double>(std::max<std::int64_t>(toRead - own, 0));
    const double tokens = static_cast<double>(toRead + it.unreadTokens) + reread;
    const double batch = static_cast<double>(it.inFlight) / std::max(it.limit, 1.0);
    const double zone = it.listing.zone == m_ownZone ? 0 : seconds(m_settings.zoneDistance);
    return tokens / readTokensPerSecond(query.pool) + batch * seconds(m_settings.fullBatch) + zone
        + delaySeconds(it, now);
}

double CallPlacement::delaySeconds(const RosterEndpoint &endpoint, Instant now) const
{
    if (endpoint.delaySeconds <= 0) {
        return 0;
    }
    return endpoint.delaySeconds * std::exp2(-seconds(now - endpoint.delayNotedAt) / seconds(m_settings.delayHalfLife));
}

double CallPlacement::readTokensPerSecond(const PoolId &pool) const
{
    const auto it = m_speeds.find(pool);
    return it == m_speeds.end() || m_settings.hasFixedSpeed ? m_settings.readTokensPerSecond
                                                            : it->second.tokensPerSecond();
}

// One slow endpoint is left to placement, which sends calls elsewhere; only where the least pressed one is pressed too
// is there more work than the pool can do in time.
double CallPlacement::pressure(const PlacementQuery &query, Instant now) const
{
    std::optional<double> least;
    for (const EndpointSlot slot : m_roster.pool(query.pool)) {
        if (isCandidate(slot, query, Choosiness::Usual, now)) {
            const double pressure = m_roster.at(slot).pressure.value(now);
            least = least ? std::min(*least, pressure) : pressure;
        }
    }
    return least.value_or(0);
}

void CallPlacement::notePressure(EndpointSlot slot, bool isLate, Instant now)
{
    m_roster.at(slot).pressure.noteAnswer(isLate, now);
}

std::int64_t CallPlacement::noteSent(EndpointSlot slot, const PlacementQuery &query, Instant now)
{
    RosterEndpoint &it = m_roster.at(slot);
    const Prompt prompt(query.parts);
    const std::int64_t unread = tokensToRead(slot, prompt);
    m_hints.noteDispatched(slot, prompt.chain);
    it.inFlight += 1;
    it.unreadTokens += unread;
    it.ejection.noteDispatched(now);
    if (m_roster.isCold(slot, now)) {
        it.coldCalls.note(now);
    }
    if (m_roster.isLimited(slot, now)) {
        it.limitedCalls.note(now);
    }
    return unread;
}

void CallPlacement::noteRead(EndpointSlot slot, std::int64_t unread)
{
    RosterEndpoint &it = m_roster.at(slot);
    it.unreadTokens = std::max<std::int64_t>(it.unreadTokens - unread, 0);
}

void CallPlacement::noteFirstAnswer(EndpointSlot slot, std::int64_t unread, Duration taken, Instant now)
{
    RosterEndpoint &it = m_roster.at(slot);
    const double expected = static_cast<double>(unread) / readTokensPerSecond(it.listing.pool);
    const double late = std::max(seconds(taken) - expected, 0.0);
    const double before = delaySeconds(it, now);
    it.delaySeconds = before + m_settings.delayStep * (late - before);
    it.delayNotedAt = now;
    ReadingSpeedSettings speed;
    speed.assumed = m_settings.readTokensPerSecond;
    m_speeds.try_emplace(it.listing.pool, speed).first->second.note(unread, taken, now);
}

void CallPlacement::noteEnded(EndpointSlot slot, RunEnd end, Instant now)
{
    RosterEndpoint &it = m_roster.at(slot);
    const double fullLimit = std::max(it.listing.slots, 1);
    const bool wasAtLimit = it.inFlight >= static_cast<int>(it.limit);
    it.inFlight -= 1;
    switch (end) {
    case RunEnd::Ok:
        if (wasAtLimit) {
            it.limit = std::min(fullLimit, it.limit + (it.limit < it.quickLimit ? 1 : 1 / it.limit));
        }
        it.ejection.noteSucceeded(m_settings.ejection, now);
        return;
    case RunEnd::Refused:
        // The endpoint is full with the work of others: half as much until it takes work again.
        it.limit = std::max(m_settings.leastLimit, it.limit / 2);
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
    RosterEndpoint &it = m_roster.at(slot);
    const bool wasBackedOff = it.backoff.isOn(now);
    if (!it.backoff.extend(backoff, gateways, m_random.fraction(), now, m_settings.backoff)) {
        return false;
    }
    if (!wasBackedOff) {
        it.quickLimit = it.limit / 2;
        it.limit = m_settings.leastLimit;
    }
    return true;
}

void CallPlacement::noteTaken(EndpointSlot slot, Instant sentAt)
{
    m_roster.at(slot).backoff.noteTaken(sentAt);
    m_roster.at(slot).pause.noteTaken(sentAt);
}

void CallPlacement::noteFailed(EndpointSlot slot, Instant now)
{
    if (m_roster.at(slot).ejection.noteFailed(m_settings.ejection, now)) {
        ejectUnlessTooMany(slot, now);
    }
}

void CallPlacement::noteCrashed(EndpointSlot slot, Instant now)
{
    if (!m_roster.at(slot).ejection.isEjected(now)) {
        ejectUnlessTooMany(slot, now);
    }
}

// When most endpoints of a pool fail, the cause is rarely in each of them; leaving them all out would make sure of the
// outage.
void CallPlacement::ejectUnlessTooMany(EndpointSlot slot, Instant now)
{
    const std::vector<EndpointSlot> &slots = m_roster.pool(m_roster.at(slot).listing.pool);
    const auto ejected = std::ranges::count_if(slots, [&](EndpointSlot other) {
        return m_roster.at(other).ejection.isEjected(now);
    });
    if (static_cast<double>(ejected + 1)
        <= m_settings.ejection.maximumEjectedShare * static_cast<double>(slots.size())) {
        m_roster.at(slot).ejection.eject(m_settings.ejection, now);
    }
}

void CallPlacement::forget(EndpointSlot slot)
{
    m_hints.removeEndpoint(slot);
}

Duration CallPlacement::expectedFirstAnswer(EndpointSlot slot, const PlacementQuery &query, Instant now) const
{
    const RosterEndpoint &it = m_roster.at(slot);
    const double tokens = static_cast<double>(tokensToRead(slot, Prompt(query.parts)) + it.unreadTokens);
    const double span = tokens / readTokensPerSecond(query.pool) + delaySeconds(it, now);
    return Duration(static_cast<Duration::rep>(span * 1e6));
}

}
