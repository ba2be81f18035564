#pragma once

#include "routing/routingpolicy.h"

#include <absl/container/inlined_vector.h>

namespace RadishSwitch
{

/// The least expected time to the first token among a few endpoints: the next ones in turn, and those that hold the
/// most of the prompt in their cache unless they are busier than the rest.
///
/// Endpoints that differ by less than what is uncertain about their load count as equal, and the first in turn gets
/// the work. So with fresh reports the least busy one is found; with old ones the work goes round, but for endpoints
/// that are clearly worse, and a herd of processes does not run after the same old news.
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
    struct Weighed {
        EndpointSlot slot = 0;
        RouteCost cost;
        double utilisation = 0;
    };

    using WeighedList = absl::InlinedVector<Weighed, 8>;

    static Weighed weigh(const RouteCandidates &candidates, EndpointSlot slot);
    WeighedList weighNext(const RouteCandidates &candidates);
    static WeighedList dropSlowStarters(const RouteCandidates &candidates, WeighedList weighed);
    static WeighedList weighAll(const RouteCandidates &candidates);
    static void addAffine(const RouteCandidates &candidates, WeighedList &weighed);
    static EndpointSlot firstAsGoodAsBest(const WeighedList &weighed);

    bool m_hasTurn = false;
    std::size_t m_turn = 0;
};

}
