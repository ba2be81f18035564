#include "routing/leastoutstandingpolicy.h"

namespace RadishSwitch
{

std::optional<EndpointSlot> LeastOutstandingPolicy::choose(const RouteCandidates &candidates)
{
    const std::size_t n = candidates.slots.size();
    std::optional<EndpointSlot> best;
    ++m_cursor;
    for (std::size_t i = 0; i < n; ++i) {
        const EndpointSlot slot = candidates.slots[(m_cursor + i) % n];
        const bool isBetter = !best || candidates.activities[slot].inFlight() < candidates.activities[*best].inFlight();
        if (isBetter && candidates.isUsable(slot)) {
            best = slot;
        }
    }
    return best;
}

}
