#pragma once

#include "agents/agentport.h"
#include "agents/agentroster.h"
#include "base/timerservice.h"
#include "budgets/billing.h"
#include "requests/admission.h"
#include "requests/admissionpipeline.h"
#include "requests/claimbook.h"
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

/// The requests that a home has granted, or learned of from agents: where they run and how they end, with one bill
/// each.
class GrantedRequests
{
public:
    struct Events {
        /// What is known of the request has changed; those that wait for it may go on.
        std::function<void(const RequestId &)> changed;
        /// An agent that may run the request cannot be asked.
        std::function<void(const RequestId &)> stuck;
    };

    GrantedRequests(RequestRegistry &registry, KeyShards &shards, ClaimBook &claims, AgentPort &agents,
                    ReservationPort &reservations, TimerService &timers, RandomSource &random,
                    RunResolverSettings settings, Events events);

    /// Notes the grant of an opening, and gives it.
    Grant add(const Opening &opening);

    /// As in Home.
    void noteDispatched(const RequestId &request, const AttemptId &attempt, const std::string &agentAddress);
    void settle(const RequestId &request, const Settlement &settlement);
    void abandon(const RequestId &request, const AttemptId &grantedAttempt);

    /// Whether an agent that may run the request cannot be asked.
    bool isStuck(const RequestId &request) const;

    /// An agent told the new owner of a shard of a run.
    void learn(std::uint32_t shard, const RunRecord &record);

    /// A run of this request that an agent told of although the request was being admitted here as new. Handed out
    /// once.
    std::optional<RunRecord> takeRival(const RequestId &request);

    /// Frees the reservation of a request that was not granted after all.
    void release(const RequestId &request);

    /// All agents have told what they know of the shard.
    void completeShard(std::uint32_t shard);

    /// Looks for agents that have come and gone; every second or so.
    void refresh();

    /// The shard has gone to another owner.
    void loseShard(std::uint32_t shard);

    /// Those granted here that have not ended, and bills that wait.
    std::size_t open() const;

private:
    using Resolvers = std::map<RequestId, std::unique_ptr<RunResolver>>;

    void end(const RequestId &request, RequestState state, std::int64_t chargedTokens);
    void endOwn(const RequestId &request, const KnownRequest &known, RequestState state, std::int64_t chargedTokens);
    void endLost(const RequestId &request);
    void bill(const RequestId &request, const KnownRequest &known, std::int64_t chargedTokens);

    void resolve(const RequestId &request, std::vector<Dispatch> places, bool cancel);
    void finishResolving(const RequestId &request, const RunVerdict &verdict);
    std::vector<Dispatch> possiblePlaces(const KnownRequest &known);
    std::unique_ptr<RunResolver> makeResolver(const RequestId &request, std::vector<Dispatch> places, bool cancel,
                                              RunResolver::Events events);

    void addRival(const KnownRequest &known, const RunRecord &record);
    void finishRival(RunRecord record, const RunVerdict &verdict);

    RequestRegistry &m_registry;
    KeyShards &m_shards;
    ClaimBook &m_claims;
    AgentPort &m_agents;
    TimerService &m_timers;
    RandomSource &m_random;
    const RunResolverSettings m_settings;
    const Events m_events;
    AgentRoster m_roster;
    Billing m_billing;
    /// Own requests that were abandoned, and learned ones that still ran.
    Resolvers m_resolvers;
    Resolvers m_rivalResolvers;
    std::size_t m_granted = 0;
};

}
