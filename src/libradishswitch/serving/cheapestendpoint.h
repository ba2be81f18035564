#pragma once

#include "base/randomsource.h"
#include "routing/endpointstate.h"

#include <algorithm>
#include <optional>

namespace RadishSwitch
{

/// Finds the endpoint with the lowest cost. Of endpoints with about the same cost, one is chosen at random, so that the
/// gateways do not all choose the same one.
class CheapestEndpoint
{
public:
    explicit CheapestEndpoint(RandomSource &random)
        : m_random(random)
    {
    }

    void add(EndpointSlot slot, double cost)
    {
        if (!m_slot || cost < m_cost - kToleranceSeconds) {
            m_slot = slot;
            m_cost = cost;
            m_equals = 1;
        } else if (cost < m_cost + kToleranceSeconds && m_random.below(++m_equals) == 0) {
            m_slot = slot;
            m_cost = std::min(m_cost, cost);
        }
    }

    /// Nullopt if no endpoint was added.
    std::optional<EndpointSlot> slot() const
    {
        return m_slot;
    }

private:
    /// Costs that differ by less than this count as equal.
    static constexpr double kToleranceSeconds = 0.002;

    RandomSource &m_random;
    std::optional<EndpointSlot> m_slot;
    double m_cost = 0;
    std::uint64_t m_equals = 0;
};

}
