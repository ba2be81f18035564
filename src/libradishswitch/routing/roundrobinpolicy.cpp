#include "routing/roundrobinpolicy.h"

#include <utility>

namespace RadishSwitch
{

std::optional<EndpointSlot> RoundRobinPolicy::choose(const RouteCandidates &candidates)
{
    const std::size_t n = candidates.slots.size();
    // The rotation starts at a random endpoint. Otherwise the first requests of all processes would go to the same one.
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
