#include "routing/routecandidates.h"

#include <algorithm>

namespace RadishSwitch
{

bool RouteCandidates::isUsable(EndpointSlot slot) const
{
    if (!directory.isEligible(slot, now)) {
        return false;
    }
    if (ejectedEndpoints == EjectedEndpoints::Excluded && !activities[slot].ejection().isAllowed(now)) {
        return false;
    }
    if (directory.state(slot).startedAtLatest > query.startedBefore) {
        return false;
    }
    if (query.requiredVersion && directory.state(slot).softwareVersion != *query.requiredVersion) {
        return false;
    }
    return query.excluded.empty()
        || std::ranges::find(query.excluded, directory.state(slot).endpoint) == query.excluded.end();
}

LoadEstimate RouteCandidates::load(EndpointSlot slot) const
{
    return estimateLoad(directory.state(slot), activities[slot], poolLoad, settings, now);
}

RouteCost RouteCandidates::cost(EndpointSlot slot, const LoadEstimate &load) const
{
    const std::size_t cached = hints.cachedBlocks(slot, query.prefixHashes);
    return estimateCost(directory.state(slot), activities[slot], load, cached, query, settings, now);
}

double RouteCandidates::slowStartShare(EndpointSlot slot) const
{
    const Duration lived = now - activities[slot].startedAt;
    if (lived >= settings.slowStart) {
        return 1;
    }
    const double share = static_cast<double>(lived.count()) / static_cast<double>(settings.slowStart.count());
    return std::max(share, settings.slowStartFloor);
}

}
