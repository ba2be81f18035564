#include "requests/grantedrequests.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

GrantedRequests::GrantedRequests(RequestRegistry &registry, KeyShards &shards, ClaimStore &claims, AgentPort &agents,
                                 ReservationPort &reservations, TimerService &timers, RandomSource &random,
                                 RunResolverSettings settings, Events events)
    : m_registry(registry)
    , m_shards(shards)
    , m_claims(claims)
    , m_agents(agents)
    , m_timers(timers)
    , m_random(random)
    , m_settings(settings)
    , m_events(std::move(events))
    , m_roster(agents, timers)
    , m_billing(reservations)
{
}

Grant GrantedRequests::add(const PendingAdmission &pending)
{
    const AdmissionQuery &query = pending.admission.query;
    KnownRequest *known = m_registry.find(query.request);
    known->state = RequestState::Granted;
    known->portion = pending.reserved.portion;
    known->epoch = pending.epoch;
    known->grantedAt = m_timers.now();
    // A claim proves that no earlier owner let the request run. Without a claim, a run of an earlier owner may still be
    // reported.
    known->isProvisional = query.isKeyed && !query.isNonIdempotent && !m_shards.isComplete(pending.shard);
    ++m_granted;
    Grant grant;
    grant.portion = pending.reserved.portion;
    grant.shard = pending.shard;
    grant.epoch = pending.epoch;
    grant.reservedTokens = pending.reserved.tokens;
    grant.portionConfirmedAt = pending.reserved.confirmedAt;
    grant.attempt = pending.attempt;
    grant.isProvisional = known->isProvisional;
    return grant;
}

void GrantedRequests::noteDispatched(const RequestId &request, const AttemptId &attempt,
                                     const std::string &agentAddress)
{
    KnownRequest *known = m_registry.find(request);
    const bool isOpen = known && known->isGrantedHere
        && (known->state == RequestState::Granted || known->state == RequestState::Dispatched);
    if (!isOpen) {
        return;
    }
    known->state = RequestState::Dispatched;
    known->dispatches.push_back({attempt, agentAddress});
    m_events.changed(request);
}

void GrantedRequests::settle(const RequestId &request, const Settlement &settlement)
{
    const KnownRequest *known = m_registry.find(request);
    if (!known || known->hasEnded() || known->state == RequestState::Pending) {
        return;
    }
    const bool isOtherGrant =
        !settlement.grantedAttempt.isEmpty() && settlement.grantedAttempt != known->grantedAttempt;
    if (isOtherGrant) {
        return;
    }
    if (settlement.isNotRun) {
        return end(request, RequestState::NotRun, 0);
    }
    end(request, settlement.isFailed ? RequestState::Failed : RequestState::Done, settlement.chargedTokens);
}

void GrantedRequests::end(const RequestId &request, RequestState state, std::int64_t chargedTokens)
{
    const KnownRequest known = *m_registry.find(request);
    // A failed run may have had its effect nevertheless.
    if (state == RequestState::Failed && known.isNonIdempotent) {
        state = RequestState::Unknown;
    }
    m_resolvers.erase(request);
    m_registry.end(request, state, chargedTokens, m_timers.now());
    if (known.isGrantedHere) {
        endGrantedHere(request, known, state, chargedTokens);
    }
    m_events.changed(request);
}

void GrantedRequests::endGrantedHere(const RequestId &request, const KnownRequest &known, RequestState state,
                                     std::int64_t chargedTokens)
{
    --m_granted;
    if (known.isKeyed && known.isNonIdempotent && state != RequestState::Unknown) {
        const ClaimState claimState = state == RequestState::NotRun ? ClaimState::NotRun : ClaimState::Done;
        m_claims.setState(known.shard, request, known.grantedAttempt, claimState);
    }
    const bool hasNoAnswer = chargedTokens == 0 && state != RequestState::Done;
    if (const RunRecord *competingRun = m_billing.competingRunOf(request); competingRun && hasNoAnswer) {
        m_registry.forget(request);
        m_registry.addReportedRun(*competingRun, known.shard, m_timers.now());
    }
    bill(request, known, chargedTokens);
}

void GrantedRequests::bill(const RequestId &request, const KnownRequest &known, std::int64_t chargedTokens)
{
    if (known.portion.isEmpty()) {
        return;
    }
    const bool isProvisional = known.isProvisional && !m_shards.isComplete(known.shard);
    if (isProvisional && chargedTokens > 0 && !m_shards.isAcquired(known.shard)) {
        return m_billing.withhold(request);
    }
    m_billing.settle(request, known.shard, chargedTokens, isProvisional);
}

void GrantedRequests::abandon(const RequestId &request, const AttemptId &grantedAttempt)
{
    const KnownRequest *known = m_registry.find(request);
    if (!known || known->hasEnded() || !known->isGrantedHere || m_resolvers.contains(request)) {
        return;
    }
    if (!grantedAttempt.isEmpty() && grantedAttempt != known->grantedAttempt) {
        return;
    }
    if (known->state == RequestState::Pending) {
        return;
    }
    // Nobody can fetch the answer of an unkeyed request, so its run is cancelled. The run of a keyed request goes on
    // for the caller's retry.
    const bool cancel = !known->isKeyed && !known->isNonIdempotent;
    resolve(request, possibleDispatches(*known), cancel);
}

/// The agents that may have the run: those to which it was sent, or else all agents known since the grant.
std::vector<Dispatch> GrantedRequests::possibleDispatches(const KnownRequest &known)
{
    if (!known.dispatches.empty()) {
        return known.dispatches;
    }
    m_roster.refresh();
    std::vector<Dispatch> dispatches;
    for (const std::string &address : m_roster.presentSince(known.grantedAt)) {
        dispatches.push_back({known.grantedAttempt, address});
    }
    return dispatches;
}

void GrantedRequests::resolve(const RequestId &request, std::vector<Dispatch> dispatches, bool cancel)
{
    if (dispatches.empty()) {
        return finishResolving(request, {ResolvedEnd::NotRun, 0});
    }
    RunResolver::Events events;
    events.ended = [this, request](const RunVerdict &verdict) {
        finishResolving(request, verdict);
    };
    events.agentUnreachable = [this, request] {
        m_events.agentUnreachable(request);
    };
    RunResolver &resolver = *(m_resolvers[request] = makeResolver(request, std::move(dispatches), cancel, events));
    resolver.start();
}

std::unique_ptr<RunResolver> GrantedRequests::makeResolver(const RequestId &request, std::vector<Dispatch> dispatches,
                                                           bool cancel, RunResolver::Events events)
{
    return std::make_unique<RunResolver>(m_agents, m_timers, m_random, request, std::move(dispatches), cancel,
                                         m_settings, std::move(events));
}

void GrantedRequests::finishResolving(const RequestId &request, const RunVerdict &verdict)
{
    m_resolvers.erase(request);
    if (!m_registry.find(request)) {
        return;
    }
    switch (verdict.end) {
    case ResolvedEnd::NotRun:
        return end(request, RequestState::NotRun, 0);
    case ResolvedEnd::Done:
        return end(request, RequestState::Done, verdict.chargedTokens);
    case ResolvedEnd::Failed:
        return end(request, RequestState::Failed, verdict.chargedTokens);
    case ResolvedEnd::Lost:
        return endLost(request);
    }
}

/// The agent is gone for good, so nobody can find out whether the run used tokens. The reserved tokens are withheld,
/// and an idempotent request may run again on a new reservation.
void GrantedRequests::endLost(const RequestId &request)
{
    const KnownRequest known = *m_registry.find(request);
    const RequestState state = known.isNonIdempotent ? RequestState::Unknown : RequestState::NotRun;
    m_registry.end(request, state, 0, m_timers.now());
    if (known.isGrantedHere) {
        --m_granted;
        if (!known.portion.isEmpty()) {
            m_billing.withhold(request);
        }
    }
    m_events.changed(request);
}

void GrantedRequests::addReportedRun(std::uint32_t shard, const RunRecord &record)
{
    if (record.state == RunState::Unknown || record.state == RunState::Barred) {
        return;
    }
    const KnownRequest *known = m_registry.find(record.request);
    if (known && known->isGrantedHere) {
        const bool isOurs = std::any_of(known->dispatches.begin(), known->dispatches.end(), [&](const auto &it) {
            return it.attempt == record.attempt;
        });
        if (!isOurs && record.attempt != known->grantedAttempt) {
            addCompetingRun(*known, record);
        }
        return;
    }
    m_registry.addReportedRun(record, shard, m_timers.now());
    if (record.state == RunState::Running && !m_resolvers.contains(record.request)) {
        resolve(record.request, {{record.attempt, record.agentAddress}}, false);
    }
}

/// When two owners both let the request run, the earlier owner bills it. Without this rule, each owner that finds the
/// charge of the other would drop its own bill, and nobody would be billed.
void GrantedRequests::addCompetingRun(const KnownRequest &known, const RunRecord &record)
{
    const bool isOfLaterOwner = known.epoch > 0 && record.epoch > known.epoch;
    if (isOfLaterOwner) {
        return m_shards.ownership().noteStaleEpoch(known.shard, known.epoch);
    }
    m_billing.noteCompetingRun(record);
    if (record.state != RunState::Running) {
        return;
    }
    RunResolver::Events events;
    events.ended = [this, record](const RunVerdict &verdict) {
        finishCompetingRun(record, verdict);
    };
    events.agentUnreachable = [] {};
    RunResolver &resolver = *(m_competingRunResolvers[record.request] =
                                  makeResolver(record.request, {{record.attempt, record.agentAddress}}, false, events));
    resolver.start();
}

void GrantedRequests::finishCompetingRun(RunRecord record, const RunVerdict &verdict)
{
    m_competingRunResolvers.erase(record.request);
    record.state = verdict.end == ResolvedEnd::Done ? RunState::Done : RunState::Failed;
    record.chargedTokens = verdict.chargedTokens;
    const KnownRequest *known = m_registry.find(record.request);
    if (known && known->isGrantedHere) {
        return m_billing.noteCompetingRun(record);
    }
    if (known && !known->hasEnded()) {
        finishResolving(record.request, verdict);
    }
}

bool GrantedRequests::hasUnreachableAgent(const RequestId &request) const
{
    const auto it = m_resolvers.find(request);
    return it != m_resolvers.end() && it->second->hasUnreachableAgent();
}

std::optional<RunRecord> GrantedRequests::takeCompetingRun(const RequestId &request)
{
    const RunRecord *competingRun = m_billing.competingRunOf(request);
    if (!competingRun) {
        return std::nullopt;
    }
    const RunRecord record = *competingRun;
    m_billing.forgetCompetingRun(request);
    m_competingRunResolvers.erase(request);
    return record;
}

void GrantedRequests::release(const RequestId &request)
{
    m_billing.release(request);
}

void GrantedRequests::refresh()
{
    m_roster.refresh();
}

void GrantedRequests::completeShard(std::uint32_t shard)
{
    m_billing.resume(shard);
}

void GrantedRequests::loseShard(std::uint32_t shard)
{
    m_billing.withholdShard(shard);
    std::erase_if(m_resolvers, [this](const auto &item) {
        return !m_registry.find(item.first);
    });
}

std::size_t GrantedRequests::openCount() const
{
    return m_granted + m_billing.waiting();
}

}
