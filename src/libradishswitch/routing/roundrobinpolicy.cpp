#include "routing/roundrobinpolicy.h"

#include <utility>

namespace RadishSwitch
{

std::optional<EndpointSlot> RoundRobinPolicy::choose(const RouteCandidates &candidates)
{
    const std::size_t n = candidates.slots.size();
    // Each process begins elsewhere; else the first requests of all of them would meet at the same endpoint.
    if (!std::exchange(m_hasCursor, true)) {
        m_cursor = candidates.random.below(n);
    }
    for (std::size_t i = 0; i < n; ++i) {
        const EndpointSlot slot = candidates.slots[m_cursor++ % n];
        if (candidates.isUsable(slot)) {
            return slot;
        }
    }
    return std::nullopt;
}

}
