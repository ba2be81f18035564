#include "routing/defaultpolicy.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

// Known costs that differ by less than this many seconds count as equal.
constexpr double kKnownTolerance = 0.001;

}

std::optional<EndpointSlot> DefaultPolicy::choose(const RouteCandidates &candidates)
{
    ScoredEndpoints scored = scoreNext(candidates);
    if (scored.empty()) {
        scored = scoreAll(candidates);
    }
    if (scored.empty()) {
        return std::nullopt;
    }
    addCacheHolders(candidates, scored);
    return firstEquivalentToBest(scored);
}

DefaultPolicy::ScoredEndpoint DefaultPolicy::score(const RouteCandidates &candidates, EndpointSlot slot)
{
    const LoadEstimate load = candidates.load(slot);
    return {slot, candidates.cost(slot, load), load.utilisation};
}

DefaultPolicy::ScoredEndpoints DefaultPolicy::scoreNext(const RouteCandidates &candidates)
{
    const std::size_t n = candidates.slots.size();
    const std::size_t scanLimit = std::min(n, candidates.settings.maximumScanned);
    // The rotation starts at a random endpoint. Otherwise the first requests of all processes would go to the same one.
    if (!std::exchange(m_hasCursor, true)) {
        m_cursor = candidates.random.below(n);
    }
    ++m_cursor;
    ScoredEndpoints scored;
    for (std::size_t i = 0; i < scanLimit && scored.size() < candidates.settings.sampleSize; ++i) {
        const EndpointSlot slot = candidates.slots[(m_cursor + i) % n];
        if (candidates.isUsable(slot)) {
            scored.push_back(score(candidates, slot));
        }
    }
    return dropSlowStarting(candidates, std::move(scored));
}

DefaultPolicy::ScoredEndpoints DefaultPolicy::dropSlowStarting(const RouteCandidates &candidates,
                                                               ScoredEndpoints scored)
{
    // An endpoint is kept with a probability relative to the one that has been running longest. Endpoints that all
    // started at the same time are therefore all kept.
    double most = 0;
    for (const ScoredEndpoint &it : scored) {
        most = std::max(most, candidates.slowStartShare(it.slot));
    }
    ScoredEndpoints kept;
    for (const ScoredEndpoint &it : scored) {
        const double share = candidates.slowStartShare(it.slot);
        if (share >= most || candidates.random.fraction() * most < share) {
            kept.push_back(it);
        }
    }
    return kept;
}

DefaultPolicy::ScoredEndpoints DefaultPolicy::scoreAll(const RouteCandidates &candidates)
{
    ScoredEndpoints scored;
    for (const EndpointSlot slot : candidates.slots) {
        if (candidates.isUsable(slot)) {
            scored.push_back(score(candidates, slot));
        }
    }
    return scored;
}

void DefaultPolicy::addCacheHolders(const RouteCandidates &candidates, ScoredEndpoints &scored)
{
    const RoutingSettings &settings = candidates.settings;
    double utilisation = 0;
    for (const ScoredEndpoint &it : scored) {
        utilisation += it.utilisation / static_cast<double>(scored.size());
    }
    for (const EndpointSlot slot :
         candidates.hints.holders(candidates.query.prefixHashes, settings.maximumCacheHolders)) {
        const bool isCandidate = std::ranges::binary_search(candidates.slots, slot);
        if (!isCandidate || !candidates.isUsable(slot)) {
            continue;
        }
        // Without this bound, all requests with the same common prefix would go to the endpoint that got it first.
        const ScoredEndpoint holder = score(candidates, slot);
        const double oneRun = 1.0 / capacityOf(candidates.directory.state(slot).load, settings);
        if (holder.utilisation <= settings.cacheHolderUtilisationFactor * utilisation + oneRun) {
            scored.push_back(holder);
        }
    }
}

EndpointSlot DefaultPolicy::firstEquivalentToBest(const ScoredEndpoints &scored)
{
    const ScoredEndpoint &best = *std::ranges::min_element(scored, {}, [](const ScoredEndpoint &it) {
        return it.cost.seconds();
    });
    const auto first = std::ranges::find_if(scored, [&best](const ScoredEndpoint &it) {
        return it.cost.knownSeconds <= best.cost.knownSeconds + kKnownTolerance
            && it.cost.loadSeconds <= best.cost.loadSeconds + best.cost.uncertaintySeconds;
    });
    return first == scored.end() ? best.slot : first->slot;
}

}
