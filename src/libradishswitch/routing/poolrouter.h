#pragma once

#include "base/randomsource.h"
#include "limits/poolslots.h"
#include "routing/ejectionsettings.h"
#include "routing/endpointactivity.h"
#include "routing/endpointdirectory.h"
#include "routing/prefixcachehints.h"
#include "routing/routequery.h"
#include "routing/routingpolicy.h"
#include "routing/routingsettings.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <memory>
#include <vector>

namespace RadishSwitch
{

/// Chooses the endpoint for each attempt by the routing policy of its pool, and tracks how the attempts go.
///
/// The router observes the directory for its whole lifetime. Like the directory, it must be used by one thread at a
/// time, under the same lock.
class PoolRouter : private EndpointObserver
{
public:
    PoolRouter(EndpointDirectory &directory, RandomSource &random, RoutingSettings routing = {},
               EjectionSettings ejection = {});
    ~PoolRouter() override;
    PoolRouter(const PoolRouter &) = delete;
    PoolRouter &operator=(const PoolRouter &) = delete;

    /// Returns the endpoint for the next attempt. Fails with NoEndpoint and a time to retry after when no endpoint of
    /// the pool may get work, and with InvalidSettings when the policy does not exist.
    absl::StatusOr<RouteChoice> choose(const RouteQuery &query, Instant now);

    /// An attempt was sent to the endpoint; `tokens` is the most it can use. Every call must be followed by one
    /// `noteFinished`.
    void noteDispatched(const EndpointId &endpoint, std::int64_t tokens, Instant now);

    /// The first byte of the answer arrived, `taken` after the dispatch. To be called for answers that are not
    /// streamed, too.
    void noteFirstToken(const EndpointId &endpoint, Duration taken, Instant now);

    void noteFinished(const EndpointId &endpoint, RunEnd end, Instant now);

    /// How many more runs this process may start in the pool now: its own free slots at the eligible endpoints, or its
    /// share of the slots that the endpoints report as free, whichever is more. The result holds for the last time at
    /// which the router or the directory was updated.
    std::int64_t freeSlots(const PoolId &pool) const;

    /// The same, together with the number of this process's own slots, in the form that the fair queue takes.
    PoolSlots room(const PoolId &pool) const;

    /// Tells the router that its process has place `rank`, counted from zero, among `count` processes that use the same
    /// endpoints. The slots of every endpoint are divided among the processes, each slot to exactly one. When all
    /// endpoints are busy each process keeps to its own slots, so that the processes together do not overload endpoints
    /// whose reports are old.
    void setCapacityShare(std::size_t rank, std::size_t count);

    /// Number of endpoints of the pool that may get work, including ejected ones.
    std::size_t eligibleCount(const PoolId &pool, Instant now) const;

    bool isEjected(const EndpointId &endpoint, Instant now) const;

    const PrefixCacheHints &hints() const
    {
        return m_hints;
    }

private:
    void endpointStarted(EndpointSlot slot, Instant now) override;
    void endpointReported(EndpointSlot slot, const std::vector<CacheEvent> &events, Instant now) override;
    void endpointRemoved(EndpointSlot slot) override;

    RoutingPolicy *policyOf(const PoolId &pool, const std::string &name);
    std::optional<EndpointSlot> chooseSlot(RoutingPolicy &policy, const RouteQuery &query, Instant now);
    std::optional<EndpointSlot> chooseFromOwnSlots(RoutingPolicy &policy, const RouteCandidates &candidates) const;
    void ejectWithinLimit(EndpointSlot slot, Instant now);
    void updatePoolLoad(EndpointSlot slot);
    /// Number of the endpoint's slots that belong to this process.
    std::int64_t ownSlotCount(EndpointSlot slot) const;
    /// Number of this process's own slots at the endpoint that are not taken by its runs.
    std::int64_t ownFreeSlots(EndpointSlot slot) const;
    EndpointActivity &activityOf(EndpointSlot slot);
    EndpointActivity *activityOf(const EndpointId &endpoint);

    EndpointDirectory &m_directory;
    RandomSource &m_random;
    const RoutingSettings m_routing;
    const EjectionSettings m_ejection;
    PrefixCacheHints m_hints;
    std::vector<EndpointActivity> m_activities;
    absl::flat_hash_map<PoolId, std::unique_ptr<RoutingPolicy>> m_policies;
    absl::flat_hash_map<PoolId, PoolLoad> m_poolLoads;
    std::size_t m_processRank = 0;
    std::size_t m_processCount = 1;
    Instant m_latestTime{};
};

}
