#pragma once

#include "routing/routingpolicy.h"

#include <absl/container/inlined_vector.h>

namespace RadishSwitch
{

/// Chooses the endpoint with the lowest expected time to the first token. The policy does not score every endpoint of
/// the pool: it scores a few, taken in rotation, and those whose prefix cache holds the longest part of the prompt,
/// unless these are much busier than the others.
///
/// Endpoints count as equal while their costs differ by less than the uncertainty of their load, and the first of them
/// in the rotation is chosen. With fresh reports the policy therefore finds the least busy endpoint. With old reports
/// it goes round robin and only skips endpoints that are clearly worse, so that many router processes do not all send
/// to the endpoint that was idle in the same old report.
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
