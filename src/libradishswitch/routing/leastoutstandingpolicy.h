#pragma once

#include "routing/routingpolicy.h"

namespace RadishSwitch
{

/// Chooses the endpoint with the fewest runs of this process under way. Endpoints with equally many runs are chosen in
/// rotation.
class LeastOutstandingPolicy : public RoutingPolicy
{
public:
    static constexpr std::string_view kName = "least-outstanding";

    std::string_view name() const override
    {
        return kName;
    }

    std::optional<EndpointSlot> choose(const RouteCandidates &candidates) override;

private:
    std::size_t m_cursor = 0;
};

}
