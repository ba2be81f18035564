#pragma once

#include "routing/routingpolicy.h"

namespace RadishSwitch
{

/// Chooses the endpoints in rotation, regardless of their load.
class RoundRobinPolicy : public RoutingPolicy
{
public:
    static constexpr std::string_view kName = "round-robin";

    std::string_view name() const override
    {
        return kName;
    }

    std::optional<EndpointSlot> choose(const RouteCandidates &candidates) override;

private:
    bool m_hasCursor = false;
    std::size_t m_cursor = 0;
};

}
