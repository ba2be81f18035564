#include "serving/callplacement.h"
#include "serving/cheapestendpoint.h"
#include "serving/needcost.h"

#include <algorithm>

/// The choice of endpoints by callers' needs, in pools whose endpoints differ in speed.
namespace RadishSwitch
{

namespace
{

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

}

bool CallPlacement::isUneven(const PoolId &pool) const
{
    return m_loads != nullptr && !m_settings.hasNoNeedPlacement && m_loads->isUneven(pool);
}

bool CallPlacement::isPlacedByNeed(const PlacementQuery &query) const
{
    const bool hasTokens = std::ranges::any_of(query.parts, [](const PromptPart &part) {
        return part.tokens > 0;
    });
    return hasTokens && isUneven(query.pool);
}

std::optional<EndpointSlot> CallPlacement::cheapestByNeed(const PlacementQuery &query, SelectionMode mode, Instant now)
{
    const Prompt prompt(query.parts);
    NeedChoice choice{query,       prompt, mode, now, prefillTokensPerSecond(query.pool), separation(query.pool, now),
                      std::nullopt};
    choice.affinity = affinityByNeed(choice);
    CheapestEndpoint cheapest(m_random);
    for (const EndpointSlot slot : drawCandidates(choice)) {
        cheapest.add(slot, needCost(slot, choice));
    }
    if (cheapest.slot()) {
        return cheapest.slot();
    }
    for (const EndpointSlot slot : m_registry.pool(query.pool)) {
        if (isCandidate(slot, query, mode, now)) {
            cheapest.add(slot, needCost(slot, choice));
        }
    }
    return cheapest.slot();
}

// The first of the ranking that is usable and fast enough, otherwise the first that is usable. When an endpoint leaves
// or turns slow, only the prompts assigned to it move.
std::optional<EndpointSlot> CallPlacement::affinityByNeed(const NeedChoice &choice)
{
    const std::vector<PromptPart> &parts = choice.query.parts;
    if (parts.size() < 2 || m_settings.hasNoAffinity) {
        return std::nullopt;
    }
    std::optional<EndpointSlot> firstUsable;
    for (const EndpointSlot slot : m_ranking.first(choice.query.pool, parts[parts.size() - 2].id)) {
        const bool isEligible = choice.mode == SelectionMode::Preferred
            ? m_admission.isHealthy(slot, choice.query, choice.now)
            : m_admission.isOpen(slot, choice.query, choice.now);
        if (!isEligible || m_registry.at(slot).backoff.isActive(choice.now)) {
            continue;
        }
        if (!isMisplaced(slot, choice) && isWithoutLongPause(slot, choice)) {
            return slot;
        }
        firstUsable = firstUsable ? firstUsable : slot;
    }
    return firstUsable;
}

const PromptSeparation &CallPlacement::separation(const PoolId &pool, Instant now)
{
    PromptSeparation &separation = m_separations[pool];
    if (separation.needsUpdate(now)) {
        PromptSeparation::Capacity capacity;
        for (const EndpointSlot slot : m_registry.pool(pool)) {
            const double speed = relativeSpeed(slot, now);
            (PromptSeparation::isSlow(speed) ? capacity.slow : capacity.fast) += speed;
        }
        separation.update(capacity, now);
    }
    return separation;
}

// The whole prompt counts, whatever is cached, so that all calls with a prefix prefer the same endpoints.
bool CallPlacement::isMisplaced(EndpointSlot slot, const NeedChoice &choice) const
{
    if (m_settings.misplacedPromptSeconds <= 0) {
        return false;
    }
    const bool isForShort = choice.separation.isForShort(relativeSpeed(slot, choice.now), m_registry.at(slot).hash);
    return isForShort == PromptSeparation::isLong(choice.prompt.tokensFrom.front());
}

// The whole prompt counts, whatever is cached, so that all calls with the prefix and all gateways agree.
bool CallPlacement::isWithoutLongPause(EndpointSlot slot, const NeedChoice &choice) const
{
    const std::optional<LoadEstimate> load = m_loads->estimate(slot, choice.now);
    const double targetGap = seconds(choice.query.targetGap);
    if (!load || targetGap <= 0) {
        return true;
    }
    const auto tokens = static_cast<double>(choice.prompt.tokensFrom.front());
    return NeedCost::risk(NeedCost::pauseByIdleInterval(load->idleEventSeconds, tokens) / targetGap) <= 0;
}

// In large pools: the affinity endpoint, endpoints that hold the prefix, and others at random. Examining few endpoints
// also keeps the gateways from all choosing the one endpoint that was idle at the last update.
CallPlacement::Candidates CallPlacement::drawCandidates(const NeedChoice &choice)
{
    const std::vector<EndpointSlot> &slots = m_registry.pool(choice.query.pool);
    Candidates candidates;
    const auto addOnce = [&](EndpointSlot slot) {
        if (std::ranges::find(candidates, slot) != candidates.end()
            || !isCandidate(slot, choice.query, choice.mode, choice.now)) {
            return false;
        }
        candidates.push_back(slot);
        return true;
    };
    if (slots.size() <= kMaximumCandidates) {
        std::ranges::for_each(slots, addOnce);
        return candidates;
    }
    if (choice.affinity) {
        addOnce(*choice.affinity);
    }
    for (const EndpointSlot slot : m_hints.holders(choice.prompt.prefixHashes, kMaximumHolders)) {
        // Routes of other pools may have sent the same prompt to endpoints of theirs.
        if (m_registry.at(slot).listing.pool == choice.query.pool) {
            addOnce(slot);
        }
    }
    std::size_t found = 0;
    for (std::size_t n = 0; n < kMaximumDraws && found < kRandomCandidates; ++n) {
        found += addOnce(slots[m_random.below(slots.size())]) ? 1 : 0;
    }
    return candidates;
}

double CallPlacement::needCost(EndpointSlot slot, const NeedChoice &choice) const
{
    const RegisteredEndpoint &it = m_registry.at(slot);
    std::int64_t toPrefill = tokensToPrefill(slot, choice.prompt);
    const std::int64_t own = choice.query.parts.back().tokens;
    // As in `cost`: other gateways send calls with this prefix to its affinity endpoint.
    if (choice.affinity == slot) {
        toPrefill = std::min(toPrefill, own);
    }
    const double reread = m_settings.rereadFactor * static_cast<double>(std::max<std::int64_t>(toPrefill - own, 0));
    const double batch = static_cast<double>(it.inFlight) / std::max(it.inFlightLimit, 1.0);
    const double zone = it.listing.zone == m_ownZone ? 0 : seconds(m_settings.zoneDistance);
    NeedCostInputs inputs;
    inputs.load = m_loads->estimate(slot, choice.now).value_or(LoadEstimate());
    inputs.poolTokensPerSecond = choice.poolTokensPerSecond;
    inputs.promptTokens = static_cast<double>(toPrefill);
    inputs.pendingTokens = static_cast<double>(it.pendingPrefillTokens);
    inputs.otherSeconds = reread / choice.poolTokensPerSecond + batch * seconds(m_settings.fullBatch) + zone
        + delaySeconds(it, choice.now);
    inputs.targetSeconds = seconds(choice.query.targetLatency);
    inputs.targetGapSeconds = seconds(choice.query.targetGap);
    inputs.expectedEvents = static_cast<double>(choice.query.expectedEvents);
    inputs.lateCallSeconds = m_settings.lateCallSeconds;
    const double misplaced = isMisplaced(slot, choice) ? m_settings.misplacedPromptSeconds : 0;
    return NeedCost(inputs).total() + misplaced;
}

double CallPlacement::relativeSpeed(EndpointSlot slot, Instant now) const
{
    if (!isUneven(m_registry.at(slot).listing.pool)) {
        return 1;
    }
    const std::optional<LoadEstimate> load = m_loads->estimate(slot, now);
    return load && load->relativeSpeed > 0 ? load->relativeSpeed : 1;
}

}
