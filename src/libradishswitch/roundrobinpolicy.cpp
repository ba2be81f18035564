#include "roundrobinpolicy.h"

namespace RadishSwitch
{

std::optional<EndpointSlot> RoundRobinPolicy::choose(const RouteCandidates &candidates)
{
    const std::size_t n = candidates.slots.size();
    for (std::size_t i = 0; i < n; ++i) {
        const EndpointSlot slot = candidates.slots[m_turn++ % n];
        if (candidates.isUsable(slot)) {
            return slot;
        }
    }
    return std::nullopt;
}

}
