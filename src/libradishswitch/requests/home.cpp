#include "requests/home.h"

#include "base/failure.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace RadishSwitch
{

namespace
{

// Others take over what this entry gives up within a moment.
absl::Status draining()
{
    return makeFailure(FailureCode::Draining, "this entry is stopping", std::chrono::milliseconds(1000));
}

}

Home::Home(const HomePorts &ports, KeyOwner self, HomeSettings settings)
    : m_ports(ports)
    , m_settings(settings)
    , m_registry(settings.registry)
    , m_shards(ports.store, ports.agents, ports.timers, ports.random, ports.entries, std::move(self),
               settings.ownership, {settings.holdLimit, settings.firstBackoff, settings.lastBackoff},
               {[this](std::uint32_t shard, const RunRecord &record) {
                    m_granted.learn(shard, record);
                },
                [this](std::uint32_t shard) {
                    m_granted.completeShard(shard);
                    finishStopping();
                },
                [this](std::uint32_t shard) {
                    loseShard(shard);
                }})
    , m_claims(ports.store, ports.timers, ports.random, settings.claims)
    , m_granted(m_registry, m_shards, m_claims, ports.agents, ports.reservations, ports.timers, ports.random,
                {settings.firstBackoff, settings.lastBackoff},
                {[this](const RequestId &request) {
                     reconsiderWaiters(request);
                     finishStopping();
                 },
                 [this](const RequestId &request) {
                     answerWaitersStuck(request);
                 }})
    , m_waiters(ports.timers)
    , m_refusalProof(m_shards.ownership(), ports.timers, settings.confirmLimit)
    , m_pipeline(m_claims, ports.reservations, settings.retryAfter, [this](const Opening &opening, const auto &status) {
        finishOpening(opening, status);
    })
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
    Opening opening;
    opening.admission = std::move(admission);
    opening.attempt = AttemptId(m_ports.random.freshName());
    const AdmitQuestion &question = opening.admission.question;
    if (question.isKeyed) {
        opening.shard = shardOf(question.budget);
        opening.epoch = m_shards.ownership().epochOf(opening.shard).value_or(0);
    }
    m_registry.open(question, opening.shard, opening.attempt);
    m_pipeline.start(std::move(opening));
}

void Home::finishOpening(const Opening &opening, const absl::Status &status)
{
    const AdmitQuestion &question = opening.admission.question;
    if (opening.isAbandoned) {
        giveBack(opening);
        return reconsiderWaiters(question.request);
    }
    if (const auto rival = m_granted.takeRival(question.request)) {
        return yieldToRival(opening, *rival);
    }
    if (!status.ok()) {
        giveBack(opening);
        reconsiderWaiters(question.request);
        return refuse(opening.admission, opening.shard, status);
    }
    if (question.isKeyed && m_shards.ownership().epochOf(opening.shard) != opening.epoch) {
        giveBack(opening);
        reconsiderWaiters(question.request);
        return answer(opening.admission.callback,
                      withUnknownOutcome(makeFailure(FailureCode::HomeElsewhere, "the key shard has moved")));
    }
    answer(opening.admission.callback, m_granted.add(opening));
}

/// An agent that could not be asked before has told of a run of this request: it is a duplicate after all.
void Home::yieldToRival(const Opening &opening, const RunRecord &rival)
{
    giveBack(opening);
    m_granted.learn(opening.shard, rival);
    consider(opening.admission);
    reconsiderWaiters(rival.request);
}

void Home::giveBack(const Opening &opening)
{
    const RequestId &request = opening.admission.question.request;
    if (opening.reserved.tokens > 0) {
        m_granted.release(request);
    }
    if (opening.isClaimed) {
        m_claims.note(opening.shard, request, opening.attempt, ClaimState::NotRun);
    }
    m_registry.forget(request);
    finishStopping();
}

void Home::refuse(const Admission &admission, std::uint32_t shard, const absl::Status &status)
{
    const AdmitQuestion &question = admission.question;
    if (!question.isKeyed || outcomeOf(status) == RunOutcome::Unknown) {
        return answer(admission.callback, status);
    }
    // An agent that could not be asked may be running it. An order would have left a claim.
    const bool isUnsure = !question.isNonIdempotent && !m_shards.isComplete(shard);
    const FailureCode code = failureCode(status);
    const bool isStoreAway = code == FailureCode::StoreUnavailable || code == FailureCode::StoreTimeout;
    if (isUnsure || isStoreAway) {
        return answer(admission.callback, withUnknownOutcome(status));
    }
    m_refusalProof.seek(shard, m_life.guard([this, admission, status](bool isProven) {
        // Another question of the same request may have been admitted meanwhile.
        const bool isOpenAgain = m_registry.find(admission.question.request) != nullptr;
        answer(admission.callback, isProven && !isOpenAgain ? status : withUnknownOutcome(status));
    }));
}

void Home::wait(Admission admission)
{
    const RequestId request = admission.question.request;
    if (m_granted.isStuck(request)) {
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
    m_granted.noteDispatched(request, attempt, agentAddress);
}

void Home::settle(const RequestId &request, const Settlement &settlement)
{
    m_granted.settle(request, settlement);
}

void Home::abandon(const RequestId &request, const AttemptId &grantedAttempt)
{
    m_pipeline.abandon(request, grantedAttempt);
    m_granted.abandon(request, grantedAttempt);
}

void Home::loseShard(std::uint32_t shard)
{
    m_registry.forgetShard(shard);
    m_granted.loseShard(shard);
    m_claims.forget(shard);
}

void Home::noteStaleEpoch(std::uint32_t shard, std::uint64_t epoch)
{
    m_shards.ownership().noteStaleEpoch(shard, epoch);
}

void Home::tick()
{
    m_registry.expire(m_ports.timers.now());
    m_shards.refresh();
    m_granted.refresh();
    finishStopping();
}

std::size_t Home::openRequests() const
{
    return m_granted.open() + m_pipeline.size();
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
