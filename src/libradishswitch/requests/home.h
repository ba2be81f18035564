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
#include "requests/claimbook.h"
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
    ClaimBookSettings claims;
    /// How long requests of a shard wait, after it changed hands, for agents that neither answer nor fail.
    Duration holdLimit = std::chrono::seconds(2);
    /// Between two questions to an agent that could not be asked, or whose run goes on: doubles, with jitter.
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration lastBackoff = std::chrono::seconds(10);
    /// How often the parts look after themselves: expiry, agents that joined.
    Duration tick = std::chrono::seconds(1);
    /// How long a refusal waits for the proof that the id did not run under a later owner; then it goes out as of
    /// unknown outcome.
    Duration confirmLimit = std::chrono::milliseconds(500);
    /// What a caller is told when nothing better is known.
    std::chrono::milliseconds retryAfter{2000};
};

/// What a home works with. All must outlive it.
struct HomePorts {
    TimerService &timers;
    TaskQueue &tasks;
    RandomSource &random;
    ObjectStore &store;
    AgentPort &agents;
    ReservationPort &reservations;
    const EntryDirectory &entries;
};

/// Decides, for the requests whose home is this entry, which may run, so that each runs and is billed once.
///
/// Requests with an idempotency key belong to a key shard with one owner over the fleet; a home that is asked for a
/// shard without a living owner takes it over. Requests without one need no owner: any home whose budgets cover them
/// will do.
///
/// Single-threaded: the answers of the ports and the timers must come under the same guard as the calls. What it
/// answers itself goes out by the task queue, outside that guard.
class Home
{
public:
    /// `self` names this entry; its epoch is not used.
    Home(const HomePorts &ports, KeyOwner self, HomeSettings settings);
    ~Home();

    Home(const Home &) = delete;
    Home &operator=(const Home &) = delete;

    /// Decides on a request. Answers with a Grant, or with where the run of the same request is to be found; a second
    /// question of a request waits until the first was dispatched or has ended.
    ///
    /// Errors: HomeElsewhere (ask the owner of the shard, `ownerOf`), Draining, KeyReusedForOtherBody, OutcomeUnknown,
    /// AnswerGone, BudgetExhausted and the other answers of budgets, StoreUnavailable, Overloaded, DeadlineExceeded.
    /// A failure whose outcome is NotRun is true for the request id, not for this question alone: earlier tries with
    /// the same key did not run either.
    void admit(AdmitQuestion question, AdmitCallback callback);

    /// The attempt is about to be sent to this agent. Call it before the run leaves the entry; for an attempt other
    /// than the grant's own the run must wait until the home has this on its books. `agentAddress` names one life of
    /// one agent (its address with its incarnation), and is handed back in DuplicateRun and to the AgentPort.
    void noteDispatched(const RequestId &request, const AttemptId &attempt, const std::string &agentAddress);

    /// Ends a granted request. Telling it twice changes nothing.
    void settle(const RequestId &request, const Settlement &settlement);

    /// The entry that served the request is gone, or the stream to it: the home finds out at the agents what became
    /// of the run, and settles by that. `grantedAttempt` as in Settlement. Harmless for a request that has ended.
    void abandon(const RequestId &request, const AttemptId &grantedAttempt = AttemptId());

    /// An agent refused a run that this home granted under this epoch: it may have been deposed.
    void noteStaleEpoch(std::uint32_t shard, std::uint64_t epoch);

    /// The key shard of a budget, and its owner as last heard of, to know which home to ask.
    std::uint32_t shardOf(const BudgetId &budget) const;
    std::optional<KeyOwner> ownerOf(std::uint32_t shard) const;

    /// Planned stop: grants nothing more, gives the key shards free, and calls back when every request granted here
    /// has ended. Until then `settle` and `abandon` must go on.
    void stop(std::function<void()> callback);

    /// Requests that are granted and have not ended.
    std::size_t openRequests() const;

private:
    void consider(Admission admission);
    void begin(Admission admission);
    void finishOpening(const Opening &opening, const absl::Status &status);
    void yieldToRival(const Opening &opening, const RunRecord &rival);
    void giveBack(const Opening &opening);
    void refuse(const Admission &admission, std::uint32_t shard, const absl::Status &status);
    void answer(const AdmitCallback &callback, absl::StatusOr<AdmitDecision> decision);

    void wait(Admission admission);
    void reconsiderWaiters(const RequestId &request);
    void answerWaitersStuck(const RequestId &request);
    absl::Status cannotTell() const;

    void loseShard(std::uint32_t shard);
    void tick();
    void finishStopping();

    const HomePorts m_ports;
    const HomeSettings m_settings;
    RequestRegistry m_registry;
    KeyShards m_shards;
    ClaimBook m_claims;
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
