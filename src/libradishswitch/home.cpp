#include "home.h"

#include "failure.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace RadishSwitch
{

namespace
{

bool needsClaim(const AdmitQuestion &question)
{
    return question.isKeyed && question.isNonIdempotent;
}

absl::Status draining()
{
    return makeFailure(FailureCode::Draining, "this entry is stopping");
}

}

Home::Home(const HomePorts &ports, KeyOwner self, HomeSettings settings)
    : m_ports(ports)
    , m_self(self)
    , m_settings(settings)
    , m_registry(settings.registry)
    , m_shards(ports.store, ports.agents, ports.timers, ports.random, ports.entries, std::move(self),
               settings.ownership, {settings.holdLimit, settings.firstBackoff, settings.lastBackoff},
               {[this](std::uint32_t shard, const RunRecord &record) {
                    runFound(shard, record);
                },
                [this](std::uint32_t shard) {
                    m_billing.resume(shard);
                    finishStopping();
                },
                [this](std::uint32_t shard) {
                    shardLost(shard);
                }})
    , m_claims(ports.store, ports.timers, ports.random, settings.claims)
    , m_billing(ports.reservations)
    , m_waiters(ports.timers)
{
    m_tickTimer = m_ports.timers.every(m_settings.tick, m_life.guard([this] {
        tick();
    }));
}

Home::~Home()
{
    m_ports.timers.cancel(m_tickTimer);
}

std::uint32_t Home::shardOf(const BudgetId &budget) const
{
    return m_shards.ownership().shardOf(budget);
}

std::optional<KeyOwner> Home::ownerOf(std::uint32_t shard) const
{
    return m_shards.ownership().ownerOf(shard);
}

void Home::answer(const AdmitCallback &callback, absl::StatusOr<AdmitDecision> decision)
{
    m_ports.tasks.post([callback, decision = std::move(decision)] {
        callback(decision);
    });
}

void Home::admit(AdmitQuestion question, AdmitCallback callback)
{
    Admission admission{std::move(question), std::move(callback)};
    if (m_isStopping) {
        const bool isKeyed = admission.question.isKeyed;
        return answer(admission.callback, isKeyed ? withUnknownOutcome(draining()) : draining());
    }
    if (!admission.question.isKeyed) {
        return consider(std::move(admission));
    }
    const std::uint32_t shard = shardOf(admission.question.budget);
    m_shards.prepare(shard, m_life.guard([this, admission = std::move(admission)](const absl::Status &status) {
        if (!status.ok()) {
            return answer(admission.callback, status);
        }
        consider(admission);
    }));
}

void Home::consider(Admission admission)
{
    const AdmitQuestion &question = admission.question;
    switch (m_registry.judge(question)) {
    case RequestVerdict::Admit:
        return begin(std::move(admission));
    case RequestVerdict::Wait:
        return wait(std::move(admission));
    case RequestVerdict::Attach: {
        const KnownRequest *known = m_registry.find(question.request);
        const Dispatch &last = known->dispatches.back();
        return answer(admission.callback,
                      DuplicateRun{last.agentAddress, last.attempt, known->state == RequestState::Done});
    }
    case RequestVerdict::OtherBody:
        return answer(admission.callback,
                      withUnknownOutcome(makeFailure(FailureCode::KeyReusedForOtherBody,
                                                     "the idempotency key was used for another request")));
    case RequestVerdict::Spent:
        return answer(admission.callback,
                      withUnknownOutcome(makeFailure(FailureCode::OutcomeUnknown,
                                                     "an earlier try may have run and cannot be repeated")));
    case RequestVerdict::Full:
        return refuse(admission, shardOf(question.budget),
                      makeFailure(FailureCode::Overloaded, "too many requests are remembered", m_settings.retryAfter));
    }
}

void Home::begin(Admission admission)
{
    const RequestId request = admission.question.request;
    Opening opening;
    opening.admission = std::move(admission);
    opening.attempt = AttemptId(m_ports.random.freshName());
    if (opening.admission.question.isKeyed) {
        opening.shard = shardOf(opening.admission.question.budget);
        opening.epoch = m_shards.ownership().epochOf(opening.shard).value_or(0);
    }
    m_registry.open(opening.admission.question, opening.shard, opening.attempt);
    const bool isClaimNeeded = needsClaim(opening.admission.question);
    m_openings.insert_or_assign(request, std::move(opening));
    if (isClaimNeeded) {
        return lookUpClaim(request);
    }
    reserve(request);
}

Home::Opening *Home::openingOf(const RequestId &request, const AttemptId &attempt)
{
    const auto it = m_openings.find(request);
    return it != m_openings.end() && it->second.attempt == attempt ? &it->second : nullptr;
}

void Home::lookUpClaim(const RequestId &request)
{
    const Opening &opening = m_openings.at(request);
    const AttemptId attempt = opening.attempt;
    m_claims.find(opening.shard, request, m_life.guard([this, request, attempt](const auto &found) {
        const Opening *opening = openingOf(request, attempt);
        if (!opening) {
            return;
        }
        if (!found.ok()) {
            return giveUp(request, found.status());
        }
        const std::optional<Claim> &claim = *found;
        if (claim && claim->state != ClaimState::NotRun) {
            return giveUp(request, spentClaim(opening->admission.question, *claim));
        }
        reserve(request);
    }));
}

absl::Status Home::spentClaim(const AdmitQuestion &question, const Claim &claim) const
{
    if (claim.fingerprint != question.fingerprint) {
        return withUnknownOutcome(
            makeFailure(FailureCode::KeyReusedForOtherBody, "the idempotency key was used for another request"));
    }
    if (claim.state == ClaimState::Done) {
        return withUnknownOutcome(makeFailure(FailureCode::AnswerGone, "it ran, and its answer is no longer kept"));
    }
    return withUnknownOutcome(
        makeFailure(FailureCode::OutcomeUnknown, "an earlier try may have run and cannot be repeated"));
}

void Home::reserve(const RequestId &request)
{
    const Opening &opening = m_openings.at(request);
    const AdmitQuestion &question = opening.admission.question;
    if (opening.isAbandoned) {
        return withdraw(request);
    }
    if (question.worstCaseTokens == 0) {
        return claim(request);
    }
    const AttemptId attempt = opening.attempt;
    const auto done = [this, request, attempt](const absl::StatusOr<ReservedPortion> &reserved) {
        Opening *opening = openingOf(request, attempt);
        if (!reserved.ok()) {
            return giveUp(request, reserved.status());
        }
        opening->reserved = *reserved;
        claim(request);
    };
    m_ports.reservations.reserve(request, question.budget, question.worstCaseTokens, question.deadline,
                                 m_life.guard(done));
}

void Home::claim(const RequestId &request)
{
    const Opening &opening = m_openings.at(request);
    if (!needsClaim(opening.admission.question) || opening.isAbandoned) {
        return grant(request);
    }
    const AttemptId attempt = opening.attempt;
    const Claim claim{request, opening.admission.question.fingerprint, attempt};
    m_claims.claim(opening.shard, claim, m_life.guard([this, request, attempt](const auto &standing) {
        Opening *opening = openingOf(request, attempt);
        if (!standing.ok()) {
            return giveUp(request, standing.status());
        }
        if (standing->attempt != attempt) {
            return giveUp(request, spentClaim(opening->admission.question, *standing));
        }
        opening->isClaimed = true;
        grant(request);
    }));
}

void Home::grant(const RequestId &request)
{
    const Opening &opening = m_openings.at(request);
    const AdmitQuestion &question = opening.admission.question;
    if (opening.isAbandoned) {
        return withdraw(request);
    }
    if (m_billing.rivalOf(request)) {
        return yieldToRival(request);
    }
    if (question.isKeyed && m_shards.ownership().epochOf(opening.shard) != opening.epoch) {
        return giveUp(request, withUnknownOutcome(makeFailure(FailureCode::HomeElsewhere, "the key shard has moved")));
    }
    KnownRequest *known = m_registry.find(request);
    known->state = RequestState::Admitted;
    known->portion = opening.reserved.portion;
    // A claim proves that no earlier owner had it run; without one a run may still turn up.
    known->isProvisional = question.isKeyed && !question.isNonIdempotent && !m_shards.isComplete(opening.shard);
    ++m_granted;
    const Grant grant{opening.reserved.portion, opening.shard, opening.epoch, opening.reserved.tokens, opening.attempt};
    const AdmitCallback callback = opening.admission.callback;
    m_openings.erase(request);
    answer(callback, grant);
}

/// An agent that could not be asked before has told of a run of this request: it is a duplicate after all.
void Home::yieldToRival(const RequestId &request)
{
    const RunRecord rival = *m_billing.rivalOf(request);
    const Opening &opening = m_openings.at(request);
    const Admission admission = opening.admission;
    const std::uint32_t shard = opening.shard;
    withdraw(request);
    runFound(shard, rival);
    consider(admission);
}

/// Takes back what an opening has got so far.
void Home::withdraw(const RequestId &request)
{
    const auto node = m_openings.extract(request);
    const Opening &opening = node.mapped();
    if (opening.reserved.tokens > 0) {
        m_billing.release(request);
    }
    m_billing.forgetRival(request);
    if (opening.isClaimed) {
        m_claims.note(opening.shard, request, opening.attempt, ClaimState::NotRun);
    }
    m_registry.forget(request);
    reconsiderWaiters(request);
    finishStopping();
}

void Home::giveUp(const RequestId &request, const absl::Status &status)
{
    const Opening &opening = m_openings.at(request);
    const Admission admission = opening.admission;
    const std::uint32_t shard = opening.shard;
    const bool isAbandoned = opening.isAbandoned;
    withdraw(request);
    if (!isAbandoned) {
        refuse(admission, shard, status);
    }
}

/// Says "not run" only with proof: a read of the owner's record, begun after the decision, that still names this home.
/// Without it, a home that was deposed unaware would say so of a request that ran under its successor.
void Home::refuse(const Admission &admission, std::uint32_t shard, const absl::Status &status)
{
    const AdmitQuestion &question = admission.question;
    if (!question.isKeyed || outcomeOf(status) == RunOutcome::Unknown) {
        return answer(admission.callback, status);
    }
    if (!question.isNonIdempotent && !m_shards.isComplete(shard)) {
        return answerRefusal(admission, status, false);
    }
    const auto isAnswered = std::make_shared<bool>(false);
    const auto once = [this, admission, status, isAnswered](bool isProven) {
        if (!std::exchange(*isAnswered, true)) {
            answerRefusal(admission, status, isProven);
        }
    };
    const TimerId timer = m_ports.timers.after(m_settings.confirmLimit, m_life.guard([once] {
        once(false);
    }));
    m_shards.ownership().confirm(shard, m_life.guard([this, once, timer](const absl::Status &confirmed) {
        m_ports.timers.cancel(timer);
        once(confirmed.ok());
    }));
}

void Home::answerRefusal(const Admission &admission, const absl::Status &status, bool isProven)
{
    // Another question of the same request may have been granted meanwhile.
    const bool isOpenAgain = m_registry.find(admission.question.request) != nullptr;
    answer(admission.callback, isProven && !isOpenAgain ? status : withUnknownOutcome(status));
}

void Home::wait(Admission admission)
{
    const RequestId request = admission.question.request;
    const auto it = m_resolvers.find(request);
    if (it != m_resolvers.end() && it->second->isStuck()) {
        return answer(admission.callback, cannotTell());
    }
    m_waiters.add(std::move(admission), m_life.guard([this](const Admission &expired) {
        answer(expired.callback,
               withUnknownOutcome(makeFailure(FailureCode::DeadlineExceeded,
                                              "an earlier try of the same request is not decided",
                                              m_settings.retryAfter)));
    }));
}

absl::Status Home::cannotTell() const
{
    return withUnknownOutcome(makeFailure(
        FailureCode::OutcomeUnknown, "an earlier try went to an agent that cannot be asked", m_settings.retryAfter));
}

void Home::reconsiderWaiters(const RequestId &request)
{
    for (Admission &admission : m_waiters.take(request)) {
        admit(std::move(admission.question), std::move(admission.callback));
    }
}

void Home::answerWaitersStuck(const RequestId &request)
{
    const KnownRequest *known = m_registry.find(request);
    if (known && known->state == RequestState::Admitted) {
        for (const Admission &admission : m_waiters.take(request)) {
            answer(admission.callback, cannotTell());
        }
    }
}

void Home::noteDispatched(const RequestId &request, const AttemptId &attempt, const std::string &agentAddress)
{
    KnownRequest *known = m_registry.find(request);
    const bool isOpen =
        known && known->isOwn && (known->state == RequestState::Admitted || known->state == RequestState::Dispatched);
    if (!isOpen) {
        return;
    }
    known->state = RequestState::Dispatched;
    known->dispatches.push_back({attempt, agentAddress});
    reconsiderWaiters(request);
}

void Home::settle(const RequestId &request, const Settlement &settlement)
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

void Home::end(const RequestId &request, RequestState state, std::int64_t chargedTokens)
{
    const KnownRequest known = *m_registry.find(request);
    // A run that failed may have had its effect all the same.
    if (state == RequestState::Failed && known.isNonIdempotent) {
        state = RequestState::Unknown;
    }
    m_resolvers.erase(request);
    m_registry.end(request, state, chargedTokens, m_ports.timers.now());
    if (known.isOwn) {
        endOwn(request, known, state, chargedTokens);
    }
    reconsiderWaiters(request);
    finishStopping();
}

void Home::endOwn(const RequestId &request, const KnownRequest &known, RequestState state, std::int64_t chargedTokens)
{
    --m_granted;
    if (known.isKeyed && known.isNonIdempotent && state != RequestState::Unknown) {
        const ClaimState claimState = state == RequestState::NotRun ? ClaimState::NotRun : ClaimState::Done;
        m_claims.note(known.shard, request, known.grantedAttempt, claimState);
    }
    const bool hasNoAnswer = chargedTokens == 0 && state != RequestState::Done;
    if (const RunRecord *rival = m_billing.rivalOf(request); rival && hasNoAnswer) {
        m_registry.forget(request);
        m_registry.learn(*rival, known.shard, m_ports.timers.now());
    }
    bill(request, known, chargedTokens);
}

void Home::bill(const RequestId &request, const KnownRequest &known, std::int64_t chargedTokens)
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

void Home::abandon(const RequestId &request, const AttemptId &grantedAttempt)
{
    const KnownRequest *known = m_registry.find(request);
    if (!known || known->hasEnded() || !known->isOwn || m_resolvers.contains(request)) {
        return;
    }
    if (!grantedAttempt.isEmpty() && grantedAttempt != known->grantedAttempt) {
        return;
    }
    if (known->state == RequestState::Opening) {
        m_openings.at(request).isAbandoned = true;
        return;
    }
    // Nobody can fetch the answer of an unkeyed request; a keyed one runs on for the retry.
    const bool cancel = !known->isKeyed && !known->isNonIdempotent;
    resolve(request, possiblePlaces(*known), cancel);
}

/// Where the run may be: where it was sent, or else anywhere.
std::vector<Dispatch> Home::possiblePlaces(const KnownRequest &known) const
{
    if (!known.dispatches.empty()) {
        return known.dispatches;
    }
    std::vector<Dispatch> places;
    for (const std::string &address : m_ports.agents.agentAddresses()) {
        places.push_back({known.grantedAttempt, address});
    }
    return places;
}

void Home::resolve(const RequestId &request, std::vector<Dispatch> places, bool cancel)
{
    if (places.empty()) {
        return finishAbandoned(request, {ResolvedEnd::NotRun, 0});
    }
    RunResolver::Events events;
    events.ended = [this, request](const RunVerdict &verdict) {
        finishAbandoned(request, verdict);
    };
    events.stuck = [this, request] {
        answerWaitersStuck(request);
    };
    RunResolver &resolver = *(m_resolvers[request] = makeResolver(request, std::move(places), cancel, events));
    resolver.start();
}

std::unique_ptr<RunResolver> Home::makeResolver(const RequestId &request, std::vector<Dispatch> places, bool cancel,
                                                RunResolver::Events events)
{
    const RunResolverSettings settings{m_settings.firstBackoff, m_settings.lastBackoff};
    return std::make_unique<RunResolver>(m_ports.agents, m_ports.timers, m_ports.random, request, std::move(places),
                                         cancel, settings, std::move(events));
}

void Home::finishAbandoned(const RequestId &request, const RunVerdict &verdict)
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
void Home::endLost(const RequestId &request)
{
    const KnownRequest known = *m_registry.find(request);
    const RequestState state = known.isNonIdempotent ? RequestState::Unknown : RequestState::NotRun;
    m_registry.end(request, state, 0, m_ports.timers.now());
    if (known.isOwn) {
        --m_granted;
        if (!known.portion.isEmpty()) {
            m_billing.withhold(request);
        }
    }
    reconsiderWaiters(request);
    finishStopping();
}

void Home::runFound(std::uint32_t shard, const RunRecord &record)
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
            rivalFound(record);
        }
        return;
    }
    m_registry.learn(record, shard, m_ports.timers.now());
    if (record.state == RunState::Running && !m_resolvers.contains(record.request)) {
        resolve(record.request, {{record.attempt, record.agentAddress}}, false);
    }
}

void Home::rivalFound(const RunRecord &record)
{
    m_billing.noteRival(record);
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

void Home::finishRival(RunRecord record, const RunVerdict &verdict)
{
    m_rivalResolvers.erase(record.request);
    record.state = verdict.end == ResolvedEnd::Done ? RunState::Done : RunState::Failed;
    record.chargedTokens = verdict.chargedTokens;
    const KnownRequest *known = m_registry.find(record.request);
    if (known && known->isOwn) {
        return m_billing.noteRival(record);
    }
    if (known && !known->hasEnded()) {
        finishAbandoned(record.request, verdict);
    }
}

void Home::shardLost(std::uint32_t shard)
{
    m_registry.forgetShard(shard);
    m_billing.withholdShard(shard);
    m_claims.forget(shard);
    std::erase_if(m_resolvers, [this](const auto &item) {
        return !m_registry.find(item.first);
    });
}

void Home::noteStaleEpoch(std::uint32_t shard, std::uint64_t epoch)
{
    m_shards.ownership().noteStaleEpoch(shard, epoch);
}

void Home::tick()
{
    m_registry.expire(m_ports.timers.now());
    m_shards.refresh();
    finishStopping();
}

std::size_t Home::openRequests() const
{
    return m_granted + m_openings.size() + m_billing.waiting();
}

void Home::stop(std::function<void()> callback)
{
    m_isStopping = true;
    m_stopped = std::move(callback);
    m_shards.ownership().handOver(m_life.guard([this] {
        m_isHandedOver = true;
        finishStopping();
    }));
}

void Home::finishStopping()
{
    if (m_stopped && m_isHandedOver && openRequests() == 0 && !m_claims.hasUnwrittenNotes()) {
        m_ports.tasks.post(std::exchange(m_stopped, {}));
    }
}

}
