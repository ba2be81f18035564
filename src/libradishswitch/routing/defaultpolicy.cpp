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
    WeighedList weighed = weighNext(candidates);
    if (weighed.empty()) {
        weighed = weighAll(candidates);
    }
    if (weighed.empty()) {
        return std::nullopt;
    }
    addAffine(candidates, weighed);
    return firstAsGoodAsBest(weighed);
}

DefaultPolicy::Weighed DefaultPolicy::weigh(const RouteCandidates &candidates, EndpointSlot slot)
{
    const LoadEstimate load = candidates.load(slot);
    return {slot, candidates.cost(slot, load), load.utilisation};
}

DefaultPolicy::WeighedList DefaultPolicy::weighNext(const RouteCandidates &candidates)
{
    const std::size_t n = candidates.slots.size();
    const std::size_t looks = std::min(n, candidates.settings.maximumDraws);
    // Each process begins elsewhere; else the first requests of all of them would meet at the same endpoint.
    if (!std::exchange(m_hasTurn, true)) {
        m_turn = candidates.random.below(n);
    }
    ++m_turn;
    WeighedList weighed;
    for (std::size_t i = 0; i < looks && weighed.size() < candidates.settings.draws; ++i) {
        const EndpointSlot slot = candidates.slots[(m_turn + i) % n];
        if (candidates.isUsable(slot)) {
            weighed.push_back(weigh(candidates, slot));
        }
    }
    return dropSlowStarters(candidates, std::move(weighed));
}

DefaultPolicy::WeighedList DefaultPolicy::dropSlowStarters(const RouteCandidates &candidates, WeighedList weighed)
{
    // Measured against the most settled one, so that endpoints that all started together all get work.
    double most = 0;
    for (const Weighed &it : weighed) {
        most = std::max(most, candidates.slowStartShare(it.slot));
    }
    WeighedList kept;
    for (const Weighed &it : weighed) {
        const double share = candidates.slowStartShare(it.slot);
        if (share >= most || candidates.random.fraction() * most < share) {
            kept.push_back(it);
        }
    }
    return kept;
}

DefaultPolicy::WeighedList DefaultPolicy::weighAll(const RouteCandidates &candidates)
{
    WeighedList weighed;
    for (const EndpointSlot slot : candidates.slots) {
        if (candidates.isUsable(slot)) {
            weighed.push_back(weigh(candidates, slot));
        }
    }
    return weighed;
}

void DefaultPolicy::addAffine(const RouteCandidates &candidates, WeighedList &weighed)
{
    const RoutingSettings &settings = candidates.settings;
    double utilisation = 0;
    for (const Weighed &it : weighed) {
        utilisation += it.utilisation / static_cast<double>(weighed.size());
    }
    for (const EndpointSlot slot : candidates.hints.holders(candidates.query.prefixHashes, settings.affineCandidates)) {
        const bool isCandidate = std::ranges::binary_search(candidates.slots, slot);
        if (!isCandidate || !candidates.isUsable(slot)) {
            continue;
        }
        // A prefix that everybody shares would gather everybody at the endpoint that saw it first.
        const Weighed affine = weigh(candidates, slot);
        const double oneRun = 1.0 / capacityOf(candidates.directory.state(slot).load, settings);
        if (affine.utilisation <= settings.affinityBound * utilisation + oneRun) {
            weighed.push_back(affine);
        }
    }
}

EndpointSlot DefaultPolicy::firstAsGoodAsBest(const WeighedList &weighed)
{
    const Weighed &best = *std::ranges::min_element(weighed, {}, [](const Weighed &it) {
        return it.cost.seconds();
    });
    const auto first = std::ranges::find_if(weighed, [&best](const Weighed &it) {
        return it.cost.knownSeconds <= best.cost.knownSeconds + kKnownTolerance
            && it.cost.loadSeconds <= best.cost.loadSeconds + best.cost.uncertainty;
    });
    return first == weighed.end() ? best.slot : first->slot;
}

}
