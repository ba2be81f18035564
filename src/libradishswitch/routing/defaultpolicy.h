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
    struct ScoredEndpoint {
        EndpointSlot slot = 0;
        RouteCost cost;
        double utilisation = 0;
    };

    using ScoredEndpoints = absl::InlinedVector<ScoredEndpoint, 8>;

    static ScoredEndpoint score(const RouteCandidates &candidates, EndpointSlot slot);
    ScoredEndpoints scoreNext(const RouteCandidates &candidates);
    static ScoredEndpoints dropSlowStarting(const RouteCandidates &candidates, ScoredEndpoints scored);
    static ScoredEndpoints scoreAll(const RouteCandidates &candidates);
    static void addCacheHolders(const RouteCandidates &candidates, ScoredEndpoints &scored);
    static EndpointSlot firstEquivalentToBest(const ScoredEndpoints &scored);

    bool m_hasCursor = false;
    std::size_t m_cursor = 0;
};

}
