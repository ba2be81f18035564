#pragma once

#include "routingpolicy.h"

namespace RadishSwitch
{

/// The least expected time to the first token among a few endpoints: some drawn at random, and those that hold the
/// most of the prompt in their cache unless they are busier than the rest.
class DefaultPolicy : public RoutingPolicy
{
public:
    static constexpr std::string_view kName = "default";

    std::string_view name() const override
    {
        return kName;
    }

    std::optional<EndpointSlot> choose(const RouteCandidates &candidates) override;

private:
    struct Pick {
        EndpointSlot slot = 0;
        double cost = 0;
        double queueSeconds = 0;
    };

    static std::optional<Pick> cheapestDrawn(const RouteCandidates &candidates, double &meanUtilisation);
    static void weighAffine(const RouteCandidates &candidates, double meanUtilisation, Pick &best);
    static std::optional<EndpointSlot> cheapestOfAll(const RouteCandidates &candidates);
};

}
