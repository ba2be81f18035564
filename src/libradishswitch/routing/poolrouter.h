#pragma once

#include "base/randomsource.h"
#include "limits/poolroom.h"
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

/// Chooses the endpoint for each attempt, by the policy of its pool, and learns from how attempts go.
///
/// Observes the directory from its construction to its end. Like the directory it is for one thread at a time, under
/// the same lock.
class PoolRouter : private EndpointObserver
{
public:
    PoolRouter(EndpointDirectory &directory, RandomSource &random, RoutingSettings routing = {},
               EjectionSettings ejection = {});
    ~PoolRouter() override;
    PoolRouter(const PoolRouter &) = delete;
    PoolRouter &operator=(const PoolRouter &) = delete;

    /// The endpoint for the next attempt. Fails with NoEndpoint, and when to come back, if no endpoint of the pool may
    /// get work; with InvalidSettings for a policy that does not exist.
    absl::StatusOr<RouteChoice> choose(const RouteQuery &query, Instant now);

    /// An attempt was sent, with its worst case in tokens. Each is followed by one `noteFinished`.
    void noteDispatched(const EndpointId &endpoint, std::int64_t tokens, Instant now);

    /// The first byte of the answer came, `taken` after the dispatch; also to be told for answers that do not stream.
    void noteFirstToken(const EndpointId &endpoint, Duration taken, Instant now);

    void noteFinished(const EndpointId &endpoint, RunEnd end, Instant now);

    /// How many more runs this process should have under way in the pool just now: what is left of its own slots at the
    /// eligible endpoints, or its part of what they report free, whichever is more.
    /// Judged at the latest moment that the router or the directory was told.
    std::int64_t freeSlots(const PoolId &pool) const;

    /// The same with the number of own slots, as the fair queue wants it.
    PoolRoom room(const PoolId &pool) const;

    /// Which of the endpoints' slots are this process's own, when all are busy: it is number `rank`, from zero, of
    /// `count` processes that use the same endpoints. Each slot is the own slot of just one of them, so that together
    /// they do not flood endpoints whose reports are old.
    void setCapacityShare(std::size_t rank, std::size_t count);

    /// Endpoints of the pool that may get work, ejected ones included.
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
    std::int64_t ownSlotCount(EndpointSlot slot) const;
    /// Own slots at the endpoint that have no run of this process.
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
