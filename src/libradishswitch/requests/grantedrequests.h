#pragma once

#include "agents/agentport.h"
#include "agents/agentroster.h"
#include "base/timerservice.h"
#include "budgets/billing.h"
#include "requests/admission.h"
#include "requests/admissionpipeline.h"
#include "requests/claimstore.h"
#include "requests/keyshards.h"
#include "requests/requestregistry.h"
#include "requests/runresolver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The requests that a home has granted, or of which agents have reported runs. Tracks where each request runs and how
/// it ends, and bills it once.
class GrantedRequests
{
public:
    struct Events {
        /// The state of the request has changed; admissions that wait for it may continue.
        std::function<void(const RequestId &)> changed;
        /// An agent that may run the request cannot be reached.
        std::function<void(const RequestId &)> agentUnreachable;
    };

    GrantedRequests(RequestRegistry &registry, KeyShards &shards, ClaimStore &claims, AgentPort &agents,
                    ReservationPort &reservations, TimerService &timers, RandomSource &random,
                    RunResolverSettings settings, Events events);

    /// Records the grant of an admission and returns it.
    Grant add(const PendingAdmission &pending);

    /// These three methods do what the methods of the same names in Home describe.
    void noteDispatched(const RequestId &request, const AttemptId &attempt, const std::string &agentAddress);
    void settle(const RequestId &request, const Settlement &settlement);
    void abandon(const RequestId &request, const AttemptId &grantedAttempt);

    /// Whether an agent that may run the request cannot be reached.
    bool hasUnreachableAgent(const RequestId &request) const;

    /// Records a run of this shard that an agent reported to the shard's new owner.
    void addReportedRun(std::uint32_t shard, const RunRecord &record);

    /// Returns and removes a run of this request that an agent reported while this home was admitting the request as
    /// new.
    std::optional<RunRecord> takeCompetingRun(const RequestId &request);

    /// Releases the reservation of a request that was not granted after all.
    void release(const RequestId &request);

    /// Called when all agents have reported their runs of the shard.
    void completeShard(std::uint32_t shard);

    /// Checks which agents have joined or left. The home calls it once per tick.
    void refresh();

    /// Called when the shard has gone to another owner.
    void loseShard(std::uint32_t shard);

    /// The number of requests granted here that have not ended, plus the number of bills that are deferred.
    std::size_t openCount() const;

private:
    using Resolvers = std::map<RequestId, std::unique_ptr<RunResolver>>;

    void end(const RequestId &request, RequestState state, std::int64_t chargedTokens);
    void endGrantedHere(const RequestId &request, const KnownRequest &known, RequestState state,
                        std::int64_t chargedTokens);
    void endLost(const RequestId &request);
    void bill(const RequestId &request, const KnownRequest &known, std::int64_t chargedTokens);

    void resolve(const RequestId &request, std::vector<Dispatch> dispatches, bool cancel);
    void finishResolving(const RequestId &request, const RunVerdict &verdict);
    std::vector<Dispatch> possibleDispatches(const KnownRequest &known);
    std::unique_ptr<RunResolver> makeResolver(const RequestId &request, std::vector<Dispatch> dispatches, bool cancel,
                                              RunResolver::Events events);

    void addCompetingRun(const KnownRequest &known, const RunRecord &record);
    void finishCompetingRun(RunRecord record, const RunVerdict &verdict);

    RequestRegistry &m_registry;
    KeyShards &m_shards;
    ClaimStore &m_claims;
    AgentPort &m_agents;
    TimerService &m_timers;
    RandomSource &m_random;
    const RunResolverSettings m_settings;
    const Events m_events;
    AgentRoster m_roster;
    Billing m_billing;
    /// Resolvers of abandoned requests that were granted here, and of reported runs that have not ended.
    Resolvers m_resolvers;
    Resolvers m_competingRunResolvers;
    std::size_t m_granted = 0;
};

}
