#include "requests/grantedrequests.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

GrantedRequests::GrantedRequests(RequestRegistry &registry, KeyShards &shards, ClaimBook &claims, AgentPort &agents,
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

Grant GrantedRequests::add(const Opening &opening)
{
    const AdmitQuestion &question = opening.admission.question;
    KnownRequest *known = m_registry.find(question.request);
    known->state = RequestState::Admitted;
    known->portion = opening.reserved.portion;
    known->epoch = opening.epoch;
    known->grantedAt = m_timers.now();
    // A claim proves that no earlier owner had it run; without one a run may still turn up.
    known->isProvisional = question.isKeyed && !question.isNonIdempotent && !m_shards.isComplete(opening.shard);
    ++m_granted;
    Grant grant;
    grant.portion = opening.reserved.portion;
    grant.shard = opening.shard;
    grant.epoch = opening.epoch;
    grant.reservedTokens = opening.reserved.tokens;
    grant.portionConfirmedAt = opening.reserved.confirmedAt;
    grant.attempt = opening.attempt;
    grant.isProvisional = known->isProvisional;
    return grant;
}

void GrantedRequests::noteDispatched(const RequestId &request, const AttemptId &attempt,
                                     const std::string &agentAddress)
{
    KnownRequest *known = m_registry.find(request);
    const bool isOpen =
        known && known->isOwn && (known->state == RequestState::Admitted || known->state == RequestState::Dispatched);
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
    if (!known || known->hasEnded() || known->state == RequestState::Opening) {
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
    // A run that failed may have had its effect all the same.
    if (state == RequestState::Failed && known.isNonIdempotent) {
        state = RequestState::Unknown;
    }
    m_resolvers.erase(request);
    m_registry.end(request, state, chargedTokens, m_timers.now());
    if (known.isOwn) {
        endOwn(request, known, state, chargedTokens);
    }
    m_events.changed(request);
}

void GrantedRequests::endOwn(const RequestId &request, const KnownRequest &known, RequestState state,
                             std::int64_t chargedTokens)
{
    --m_granted;
    if (known.isKeyed && known.isNonIdempotent && state != RequestState::Unknown) {
        const ClaimState claimState = state == RequestState::NotRun ? ClaimState::NotRun : ClaimState::Done;
        m_claims.note(known.shard, request, known.grantedAttempt, claimState);
    }
    const bool hasNoAnswer = chargedTokens == 0 && state != RequestState::Done;
    if (const RunRecord *rival = m_billing.competingRunOf(request); rival && hasNoAnswer) {
        m_registry.forget(request);
        m_registry.learn(*rival, known.shard, m_timers.now());
    }
    bill(request, known, chargedTokens);
}

void GrantedRequests::bill(const RequestId &request, const KnownRequest &known, std::int64_t chargedTokens)
{
    if (known.portion.isEmpty()) {
        return;
    }
    const bool isProvisional = known.isProvisional && !m_shards.isComplete(known.shard);
    if (isProvisional && chargedTokens > 0 && !m_shards.isHeld(known.shard)) {
        return m_billing.withhold(request);
    }
    m_billing.settle(request, known.shard, chargedTokens, isProvisional);
}

void GrantedRequests::abandon(const RequestId &request, const AttemptId &grantedAttempt)
{
    const KnownRequest *known = m_registry.find(request);
    if (!known || known->hasEnded() || !known->isOwn || m_resolvers.contains(request)) {
        return;
    }
    if (!grantedAttempt.isEmpty() && grantedAttempt != known->grantedAttempt) {
        return;
    }
    if (known->state == RequestState::Opening) {
        return;
    }
    // Nobody can fetch the answer of an unkeyed request; a keyed one runs on for the retry.
    const bool cancel = !known->isKeyed && !known->isNonIdempotent;
    resolve(request, possiblePlaces(*known), cancel);
}

/// Where the run may be: where it was sent, or else anywhere.
std::vector<Dispatch> GrantedRequests::possiblePlaces(const KnownRequest &known)
{
    if (!known.dispatches.empty()) {
        return known.dispatches;
    }
    m_roster.refresh();
    std::vector<Dispatch> places;
    for (const std::string &address : m_roster.since(known.grantedAt)) {
        places.push_back({known.grantedAttempt, address});
    }
    return places;
}

void GrantedRequests::resolve(const RequestId &request, std::vector<Dispatch> places, bool cancel)
{
    if (places.empty()) {
        return finishResolving(request, {ResolvedEnd::NotRun, 0});
    }
    RunResolver::Events events;
    events.ended = [this, request](const RunVerdict &verdict) {
        finishResolving(request, verdict);
    };
    events.stuck = [this, request] {
        m_events.stuck(request);
    };
    RunResolver &resolver = *(m_resolvers[request] = makeResolver(request, std::move(places), cancel, events));
    resolver.start();
}

std::unique_ptr<RunResolver> GrantedRequests::makeResolver(const RequestId &request, std::vector<Dispatch> places,
                                                           bool cancel, RunResolver::Events events)
{
    return std::make_unique<RunResolver>(m_agents, m_timers, m_random, request, std::move(places), cancel, m_settings,
                                         std::move(events));
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

/// The agent is gone and took the proof along: what was reserved stays out of use, and an idempotent request may run
/// again on a reservation of its own.
void GrantedRequests::endLost(const RequestId &request)
{
    const KnownRequest known = *m_registry.find(request);
    const RequestState state = known.isNonIdempotent ? RequestState::Unknown : RequestState::NotRun;
    m_registry.end(request, state, 0, m_timers.now());
    if (known.isOwn) {
        --m_granted;
        if (!known.portion.isEmpty()) {
            m_billing.withhold(request);
        }
    }
    m_events.changed(request);
}

void GrantedRequests::learn(std::uint32_t shard, const RunRecord &record)
{
    if (record.state == RunState::Unknown || record.state == RunState::Barred) {
        return;
    }
    const KnownRequest *known = m_registry.find(record.request);
    if (known && known->isOwn) {
        const bool isOurs = std::any_of(known->dispatches.begin(), known->dispatches.end(), [&](const auto &it) {
            return it.attempt == record.attempt;
        });
        if (!isOurs && record.attempt != known->grantedAttempt) {
            addRival(*known, record);
        }
        return;
    }
    m_registry.learn(record, shard, m_timers.now());
    if (record.state == RunState::Running && !m_resolvers.contains(record.request)) {
        resolve(record.request, {{record.attempt, record.agentAddress}}, false);
    }
}

/// Of two owners that both had the request run, the earlier one bills it. Without that order each of two that find each
/// other's charge would take its own bill back, and nobody would be billed.
void GrantedRequests::addRival(const KnownRequest &known, const RunRecord &record)
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
        finishRival(record, verdict);
    };
    events.stuck = [] {};
    RunResolver &resolver = *(m_rivalResolvers[record.request] =
                                  makeResolver(record.request, {{record.attempt, record.agentAddress}}, false, events));
    resolver.start();
}

void GrantedRequests::finishRival(RunRecord record, const RunVerdict &verdict)
{
    m_rivalResolvers.erase(record.request);
    record.state = verdict.end == ResolvedEnd::Done ? RunState::Done : RunState::Failed;
    record.chargedTokens = verdict.chargedTokens;
    const KnownRequest *known = m_registry.find(record.request);
    if (known && known->isOwn) {
        return m_billing.noteCompetingRun(record);
    }
    if (known && !known->hasEnded()) {
        finishResolving(record.request, verdict);
    }
}

bool GrantedRequests::isStuck(const RequestId &request) const
{
    const auto it = m_resolvers.find(request);
    return it != m_resolvers.end() && it->second->isStuck();
}

std::optional<RunRecord> GrantedRequests::takeRival(const RequestId &request)
{
    const RunRecord *rival = m_billing.competingRunOf(request);
    if (!rival) {
        return std::nullopt;
    }
    const RunRecord record = *rival;
    m_billing.forgetCompetingRun(request);
    m_rivalResolvers.erase(request);
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

std::size_t GrantedRequests::open() const
{
    return m_granted + m_billing.waiting();
}

}
