#pragma once

#include "limits/ceilingmeter.h"
#include "limits/fairqueue.h"
#include "limits/retrybudget.h"
#include "monitor.h"
#include "routing/endpointdirectory.h"
#include "routing/poolrouter.h"
#include "runplan.h"
#include "wire.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

class DispatchGate;

/// A request's place among those that may be sent to a pool; given back when it is dropped.
class GatePass
{
public:
    GatePass() = default;
    GatePass(DispatchGate &gate, const RunPlan &plan, Instant since);
    ~GatePass();
    GatePass(GatePass &&other) noexcept;
    GatePass &operator=(GatePass &&other) noexcept;

    /// The first attempt is about to be sent: from here on the router counts it.
    void noteDispatched();

    /// Gives the place back before the end. `usedTokens` is what the request was billed.
    void release(std::int64_t usedTokens = 0);

private:
    friend class DispatchGate;

    DispatchGate *m_gate = nullptr;
    OrganisationId m_organisation;
    PoolId m_pool;
    int m_priority = 0;
    std::int64_t m_tokens = 0;
    Instant m_since;
    bool m_isDispatched = false;
};

/// How one pool stands at this entry, for status pages.
struct PoolStanding {
    PoolId pool;
    std::size_t eligibleEndpoints = 0;
    std::int64_t freeSlots = 0;
    std::size_t queued = 0;
    std::size_t underWay = 0;

    bool operator==(const PoolStanding &) const = default;
};

/// The shared table of endpoints, queues and ceilings: who may be sent where, and when. Safe on any thread.
class DispatchGate
{
public:
    using EnterCallback = std::function<void(absl::StatusOr<GatePass>)>;

    DispatchGate(TimerService &timers, RandomSource &random, std::string zone, std::string region);
    ~DispatchGate();

    /// Begins to look after queues by the timer.
    void start();

    /// Takes over the organisations' ceilings and the pools' queue lengths.
    void applyTable(const SteeringTable &table);

    /// Sets this entry's part of the fleet's ceilings and of the endpoints' capacity: it is number `rank`, from zero,
    /// of `count` live entries; `count` is at least one.
    void setPlaceAmongEntries(std::size_t rank, std::size_t count);

    /// Waits for a place. Refuses at once with CeilingReached or Overloaded, each with the time to come back; a request
    /// that waits is refused as soon as it can't make its deadline.
    void enter(const RunPlan &plan, Instant deadline, EnterCallback callback);

    /// The endpoint for the next attempt; its address names the life of its agent.
    /// Only agents that had started before `startedBefore` are chosen, and only endpoints of `requiredVersion` if
    /// given.
    absl::StatusOr<RouteChoice> choose(const RunPlan &plan, const std::vector<EndpointId> &excluded,
                                       Instant startedBefore,
                                       const std::optional<SoftwareVersion> &requiredVersion = std::nullopt);

    /// Called, under the gate's lock, when an agent is heard of that was not there before. Before `start`.
    void setNewAgentCallback(std::function<void()> callback);

    void noteDispatched(const RouteChoice &choice, const RunPlan &plan);
    void noteFirstToken(const RouteChoice &choice, Duration taken);
    void noteFinished(const RouteChoice &choice, const RunPlan &plan, RunEnd end);
    void noteLoad(const RouteChoice &choice, const wire::Load &load);

    /// The backoff before a further attempt, taken out of the retry budget; the errors of RetryBudget.
    absl::StatusOr<Duration> retry(const RetryQuery &query);

    void applyReport(const EndpointReport &report);
    void applyListed(const ListedInstance &instance);
    void applyUnlisted(const EndpointId &endpoint);
    void noteConnectionLost(const EndpointId &endpoint);

    /// Addresses, with their lives, of all agents known here.
    std::vector<std::string> agentLives() const;

    std::vector<PoolStanding> standings() const;

private:
    friend class GatePass;

    struct Waiting {
        RunPlan plan;
        Instant since;
        EnterCallback callback;
    };

    struct Pool {
        explicit Pool(const FairQueueSettings &settings)
            : queue(settings)
        {
        }

        FairQueue queue;
        Duration queueDeadline = std::chrono::seconds(10);
        std::map<RequestId, Waiting> waiting;
        /// Let in, and not dispatched yet.
        std::int64_t entering = 0;
        std::size_t underWay = 0;
    };

    void beginDispatch(const PoolId &pool);
    void leave(const GatePass &pass, std::int64_t used);
    Pool &poolOf(const PoolId &id);
    void pump(const PoolId &id, Pool &pool, Instant now);
    void refuseExpired(Pool &pool, Instant now);
    void letIn(Pool &pool, const Waiting &waiting);
    void tick();
    RouteQuery queryOf(const RunPlan &plan, const std::vector<EndpointId> &excluded, Instant startedBefore) const;

    TimerService &m_timers;
    const std::string m_zone;
    const std::string m_region;
    mutable Monitor m_monitor;
    EndpointDirectory m_directory;
    PoolRouter m_router;
    CeilingMeter m_ceilings;
    RetryBudget m_retries;
    std::map<PoolId, Pool> m_pools;
    absl::flat_hash_map<PoolId, FairQueueSettings> m_queueSettings;
    std::uint64_t m_tickets = 0;
    TimerId m_timer = 0;
    std::function<void()> m_onNewAgent;
};

}
