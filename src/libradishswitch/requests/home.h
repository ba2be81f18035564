#pragma once

#include "agents/agentport.h"
#include "base/lifetimetoken.h"
#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"
#include "budgets/reservationport.h"
#include "membership/entrydirectory.h"
#include "requests/admission.h"
#include "requests/admissionpipeline.h"
#include "requests/admissionwaiters.h"
#include "requests/claimstore.h"
#include "requests/grantedrequests.h"
#include "requests/keyowner.h"
#include "requests/keyownership.h"
#include "requests/keyshards.h"
#include "requests/refusalproof.h"
#include "requests/requestregistry.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace RadishSwitch
{

struct HomeSettings {
    KeyOwnershipSettings ownership;
    RequestRegistrySettings registry;
    ClaimStoreSettings claims;
    /// After a shard has changed hands, its requests wait this long at most for agents that neither answer nor fail.
    Duration holdLimit = std::chrono::seconds(2);
    /// The pause before the home asks again an agent that cannot be reached or whose run has not ended. It doubles from
    /// the first to the last backoff, with jitter.
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration lastBackoff = std::chrono::seconds(10);
    /// Interval of periodic work: expiry of ended requests, and the search for agents that have joined or left.
    Duration tick = std::chrono::seconds(1);
    /// How long a refusal waits for the proof that the request did not run under a later owner of the shard. After that
    /// it is sent with an unknown outcome.
    Duration confirmLimit = std::chrono::milliseconds(500);
    /// The time after which a caller is told to retry when no better value is known.
    std::chrono::milliseconds retryAfter{2000};
};

/// The services that a home uses. They must all outlive the home.
struct HomePorts {
    TimerService &timers;
    TaskQueue &tasks;
    RandomSource &random;
    ObjectStore &store;
    AgentPort &agents;
    ReservationPort &reservations;
    const EntryDirectory &entries;
};

/// Decides which requests may run, for the requests whose home is this entry, so that each runs and is billed once.
///
/// Requests with an idempotency key belong to a key shard, which has one owner in the whole fleet. When a home is asked
/// about a shard whose owner is dead, or that has none, it takes the shard over. Requests without a key need no owner:
/// any home whose budgets cover them can decide.
///
/// Single-threaded: the callbacks of the ports and timers must run under the same lock as the calls. The home's own
/// answers are posted to the task queue and run outside that lock.
class Home
{
public:
    /// `self` describes this entry; its epoch is not used.
    Home(const HomePorts &ports, KeyOwner self, HomeSettings settings);
    ~Home();

    Home(const Home &) = delete;
    Home &operator=(const Home &) = delete;

    /// Decides on a request. Answers with a Grant, or with the agent that has the run of the same request. A second
    /// query of a request waits until the first one is dispatched or has ended.
    ///
    /// Errors: HomeElsewhere (ask the shard's owner, see `ownerOf`), Draining, KeyReusedForOtherBody, OutcomeUnknown,
    /// AnswerGone, BudgetExhausted and other errors of the budget, StoreUnavailable, Overloaded, DeadlineExceeded. A
    /// failure with the outcome NotRun is valid for the request id, not only for this query: earlier tries with the
    /// same key did not run either.
    void admit(AdmissionQuery query, AdmitCallback callback);

    /// Records that an attempt is about to be sent to this agent. Call it before the entry sends the run. An attempt
    /// other than the grant's own must not be sent before the home has recorded it. `agentAddress` identifies one
    /// incarnation of an agent (its address together with its incarnation); it is returned in DuplicateRun and passed
    /// to AgentPort.
    void noteDispatched(const RequestId &request, const AttemptId &attempt, const std::string &agentAddress);

    /// Ends a granted request. A second call for the same grant has no effect.
    void settle(const RequestId &request, const Settlement &settlement);

    /// The entry that served the request is gone, or its stream to the home is broken. The home asks the agents what
    /// became of the run and settles the request accordingly. `grantedAttempt` has the meaning that it has in
    /// Settlement. Has no effect on a request that has ended.
    void abandon(const RequestId &request, const AttemptId &grantedAttempt = AttemptId());

    /// An agent refused a run that this home granted under this epoch, so the home may have been deposed and checks it.
    void noteStaleEpoch(std::uint32_t shard, std::uint64_t epoch);

    /// The key shard of a budget, and the last known owner of a shard. An entry uses them to find the home to ask.
    std::uint32_t shardOf(const BudgetId &budget) const;
    std::optional<KeyOwner> ownerOf(std::uint32_t shard) const;

    /// Planned shutdown: grants nothing more, releases the key shards, and calls back when every request granted here
    /// has ended. Until then `settle` and `abandon` must still be called.
    void stop(std::function<void()> callback);

    /// The number of requests that are being admitted, or are granted and have not ended, plus the number of deferred
    /// bills.
    std::size_t openRequests() const;

private:
    void decide(Admission admission);
    void startAdmission(Admission admission);
    void finishAdmission(const PendingAdmission &pending, const absl::Status &status);
    void attachToCompetingRun(const PendingAdmission &pending, const RunRecord &competingRun);
    void rollBack(const PendingAdmission &pending);
    void refuse(const Admission &admission, std::uint32_t shard, const absl::Status &status);
    void answer(const AdmitCallback &callback, absl::StatusOr<AdmitDecision> decision);

    void addWaiter(Admission admission);
    void retryWaiters(const RequestId &request);
    void failWaiters(const RequestId &request);
    absl::Status unreachableAgentFailure() const;

    void loseShard(std::uint32_t shard);
    void tick();
    void finishStopping();

    const HomePorts m_ports;
    const HomeSettings m_settings;
    RequestRegistry m_registry;
    KeyShards m_shards;
    ClaimStore m_claims;
    GrantedRequests m_granted;
    AdmissionWaiters m_waiters;
    RefusalProof m_refusalProof;
    AdmissionPipeline m_pipeline;
    bool m_isStopping = false;
    bool m_isHandedOver = false;
    std::function<void()> m_stopped;
    TimerId m_tickTimer = 0;
    LifetimeToken m_life;
};

}
