#include "requests/home.h"

#include "base/failure.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace RadishSwitch
{

namespace
{

// The caller is told to retry after one second, because other entries take over the released shards almost at once.
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
                    m_granted.addReportedRun(shard, record);
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
                     retryWaiters(request);
                     finishStopping();
                 },
                 [this](const RequestId &request) {
                     failWaiters(request);
                 }})
    , m_waiters(ports.timers)
    , m_refusalProof(m_shards.ownership(), ports.timers, settings.confirmLimit)
    , m_pipeline(m_claims, ports.reservations, settings.retryAfter,
                 [this](const PendingAdmission &pending, const auto &status) {
                     finishAdmission(pending, status);
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

void Home::admit(AdmissionQuery query, AdmitCallback callback)
{
    Admission admission{std::move(query), std::move(callback)};
    if (m_isStopping) {
        const bool isKeyed = admission.query.isKeyed;
        return answer(admission.callback, isKeyed ? withUnknownOutcome(draining()) : draining());
    }
    if (!admission.query.isKeyed) {
        return decide(std::move(admission));
    }
    const std::uint32_t shard = shardOf(admission.query.budget);
    m_shards.prepare(shard, m_life.guard([this, admission = std::move(admission)](const absl::Status &status) {
        if (!status.ok()) {
            return answer(admission.callback, status);
        }
        decide(admission);
    }));
}

void Home::decide(Admission admission)
{
    const AdmissionQuery &query = admission.query;
    switch (m_registry.check(query)) {
    case RequestVerdict::Admit:
        return startAdmission(std::move(admission));
    case RequestVerdict::Wait:
        return addWaiter(std::move(admission));
    case RequestVerdict::Attach: {
        const KnownRequest *known = m_registry.find(query.request);
        const Dispatch &last = known->dispatches.back();
        return answer(admission.callback,
                      DuplicateRun{last.agentAddress, last.attempt, known->state == RequestState::Done});
    }
    case RequestVerdict::BodyMismatch:
        return answer(admission.callback,
                      withUnknownOutcome(makeFailure(FailureCode::KeyReusedForOtherBody,
                                                     "the idempotency key was used for another request")));
    case RequestVerdict::NotRepeatable:
        return answer(
            admission.callback,
            withUnknownOutcome(makeFailure(FailureCode::OutcomeUnknown,
                                           "an earlier try of the request may have run, so it must not run again")));
    case RequestVerdict::Full:
        return refuse(
            admission, shardOf(query.budget),
            makeFailure(FailureCode::Overloaded, "the home's request registry is full", m_settings.retryAfter));
    }
}

void Home::startAdmission(Admission admission)
{
    PendingAdmission pending;
    pending.admission = std::move(admission);
    pending.attempt = AttemptId(m_ports.random.freshName());
    const AdmissionQuery &query = pending.admission.query;
    if (query.isKeyed) {
        pending.shard = shardOf(query.budget);
        pending.epoch = m_shards.ownership().epochOf(pending.shard).value_or(0);
    }
    m_registry.open(query, pending.shard, pending.attempt);
    m_pipeline.start(std::move(pending));
}

void Home::finishAdmission(const PendingAdmission &pending, const absl::Status &status)
{
    const AdmissionQuery &query = pending.admission.query;
    if (pending.isAbandoned) {
        rollBack(pending);
        return retryWaiters(query.request);
    }
    if (const auto competingRun = m_granted.takeCompetingRun(query.request)) {
        return attachToCompetingRun(pending, *competingRun);
    }
    if (!status.ok()) {
        rollBack(pending);
        retryWaiters(query.request);
        return refuse(pending.admission, pending.shard, status);
    }
    if (query.isKeyed && m_shards.ownership().epochOf(pending.shard) != pending.epoch) {
        rollBack(pending);
        retryWaiters(query.request);
        return answer(pending.admission.callback,
                      withUnknownOutcome(makeFailure(FailureCode::HomeElsewhere, "the key shard has a new owner")));
    }
    answer(pending.admission.callback, m_granted.add(pending));
}

/// While the request was being admitted, an agent that could not be reached before has reported a run of it. So the
/// request is a duplicate.
void Home::attachToCompetingRun(const PendingAdmission &pending, const RunRecord &competingRun)
{
    rollBack(pending);
    m_granted.addReportedRun(pending.shard, competingRun);
    decide(pending.admission);
    retryWaiters(competingRun.request);
}

void Home::rollBack(const PendingAdmission &pending)
{
    const RequestId &request = pending.admission.query.request;
    if (pending.reserved.tokens > 0) {
        m_granted.release(request);
    }
    if (pending.isClaimed) {
        m_claims.setState(pending.shard, request, pending.attempt, ClaimState::NotRun);
    }
    m_registry.forget(request);
    finishStopping();
}

void Home::refuse(const Admission &admission, std::uint32_t shard, const absl::Status &status)
{
    const AdmissionQuery &query = admission.query;
    if (!query.isKeyed || outcomeOf(status) == RunOutcome::Unknown) {
        return answer(admission.callback, status);
    }
    // An agent that cannot be reached may be running the request. This does not apply to a non-idempotent request,
    // whose earlier run would have left a claim.
    const bool isUnsure = !query.isNonIdempotent && !m_shards.isComplete(shard);
    const FailureCode code = failureCode(status);
    const bool isStoreAway = code == FailureCode::StoreUnavailable || code == FailureCode::StoreTimeout;
    if (isUnsure || isStoreAway) {
        return answer(admission.callback, withUnknownOutcome(status));
    }
    m_refusalProof.obtain(shard, m_life.guard([this, admission, status](bool isProven) {
        // Another query of the same request may have been admitted in the meantime.
        const bool isOpenAgain = m_registry.find(admission.query.request) != nullptr;
        answer(admission.callback, isProven && !isOpenAgain ? status : withUnknownOutcome(status));
    }));
}

void Home::addWaiter(Admission admission)
{
    const RequestId request = admission.query.request;
    if (m_granted.hasUnreachableAgent(request)) {
        return answer(admission.callback, unreachableAgentFailure());
    }
    m_waiters.add(std::move(admission), m_life.guard([this](const Admission &expired) {
        answer(expired.callback,
               withUnknownOutcome(makeFailure(FailureCode::DeadlineExceeded,
                                              "an earlier try of the same request has not been decided yet",
                                              m_settings.retryAfter)));
    }));
}

absl::Status Home::unreachableAgentFailure() const
{
    return withUnknownOutcome(makeFailure(FailureCode::OutcomeUnknown,
                                          "an earlier try may be running at an agent that cannot be reached",
                                          m_settings.retryAfter));
}

void Home::retryWaiters(const RequestId &request)
{
    for (Admission &admission : m_waiters.take(request)) {
        admit(std::move(admission.query), std::move(admission.callback));
    }
}

void Home::failWaiters(const RequestId &request)
{
    const KnownRequest *known = m_registry.find(request);
    if (known && known->state == RequestState::Granted) {
        for (const Admission &admission : m_waiters.take(request)) {
            answer(admission.callback, unreachableAgentFailure());
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
    return m_granted.openCount() + m_pipeline.size();
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
    if (m_stopped && m_isHandedOver && openRequests() == 0 && !m_claims.hasUnwrittenUpdates()) {
        m_ports.tasks.post(std::exchange(m_stopped, {}));
    }
}

}
