#include "defaultpolicy.h"

#include <algorithm>

namespace RadishSwitch
{

std::optional<EndpointSlot> DefaultPolicy::choose(const RouteCandidates &candidates)
{
    double meanUtilisation = 0;
    std::optional<Pick> best = cheapestDrawn(candidates, meanUtilisation);
    if (!best) {
        return cheapestOfAll(candidates);
    }
    weighAffine(candidates, meanUtilisation, *best);
    return best->slot;
}

std::optional<DefaultPolicy::Pick> DefaultPolicy::cheapestDrawn(const RouteCandidates &candidates,
                                                                double &meanUtilisation)
{
    const std::size_t n = candidates.slots.size();
    const RoutingSettings &settings = candidates.settings;
    std::optional<Pick> best;
    std::size_t weighed = 0;
    double utilisation = 0;
    for (std::size_t i = 0; i < settings.maximumDraws && n > 0; ++i) {
        const EndpointSlot slot = candidates.slots[candidates.random.below(n)];
        if (!candidates.isUsable(slot) || candidates.random.fraction() >= candidates.slowStartShare(slot)) {
            continue;
        }
        const LoadEstimate load = candidates.load(slot);
        const double cost = candidates.cost(slot, load);
        utilisation += load.utilisation;
        ++weighed;
        if (!best || cost < best->cost) {
            best = Pick{slot, cost, load.queueSeconds};
        }
        if (weighed >= settings.draws && best->queueSeconds <= 0) {
            break;
        }
    }
    meanUtilisation = weighed == 0 ? 0 : utilisation / static_cast<double>(weighed);
    return best;
}

void DefaultPolicy::weighAffine(const RouteCandidates &candidates, double meanUtilisation, Pick &best)
{
    const RoutingSettings &settings = candidates.settings;
    const auto holders = candidates.hints.holders(candidates.query.prefixHashes, settings.affineCandidates);
    for (const EndpointSlot slot : holders) {
        const bool isCandidate = std::ranges::binary_search(candidates.slots, slot);
        if (!isCandidate || !candidates.isUsable(slot)) {
            continue;
        }
        // A prefix that everybody shares would gather everybody at the endpoint that saw it first.
        const LoadEstimate load = candidates.load(slot);
        const double oneRun = 1.0 / capacityOf(candidates.directory.state(slot).load, settings);
        if (load.utilisation > settings.affinityBound * meanUtilisation + oneRun) {
            continue;
        }
        const double cost = candidates.cost(slot, load);
        if (cost < best.cost) {
            best = Pick{slot, cost, load.queueSeconds};
        }
    }
}

std::optional<EndpointSlot> DefaultPolicy::cheapestOfAll(const RouteCandidates &candidates)
{
    std::optional<Pick> best;
    for (const EndpointSlot slot : candidates.slots) {
        if (!candidates.isUsable(slot)) {
            continue;
        }
        const LoadEstimate load = candidates.load(slot);
        const double cost = candidates.cost(slot, load);
        if (!best || cost < best->cost) {
            best = Pick{slot, cost, load.queueSeconds};
        }
    }
    return best ? std::optional<EndpointSlot>(best->slot) : std::nullopt;
}

}
