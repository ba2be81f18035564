#pragma once

#include "agents/agentport.h"
#include "answerrelay.h"
#include "chatstreamrelay.h"
#include "dispatchgate.h"
#include "homedirectory.h"
#include "homesession.h"
#include "requestjournal.h"
#include "runplan.h"
#include "runstream.h"

#include <memory>
#include <set>

namespace RadishSwitch
{

/// What a request's session works with; all of it outlives the session.
struct SessionServices {
    TimerService &timers;
    RandomSource &random;
    MessageClientSource &clients;
    AgentPort &agents;
    HomeDirectory &homes;
    DispatchGate &gate;
    RequestJournal &journal;
};

/// One caller's request from its admission to its settlement.
///
/// The way: a place in the pool's queue, the home's grant, an endpoint, the run, the answer to the caller, the
/// settlement at the home. A session that ends without a settlement leaves it to the home to find out at the agents
/// what was charged.
class RequestSession
{
public:
    RequestSession(SessionServices services, HttpExchange &exchange, RunPlan plan);

    /// Serves the request. OK when the caller got its answer; what it was told otherwise.
    boost::asio::awaitable<absl::Status> run();

private:
    enum class AttemptEnd {
        /// The answer is whole, and `m_charged` is its bill.
        Answered,
        /// The agent proved that the run did not start there.
        NotStarted,
        /// The home could not be told of the attempt, so it was not sent; nor is any other.
        NotSent,
        /// The run started and failed, or its agent is gone.
        Failed,
        /// The run was left for the next attempt, which has its place in `m_next`.
        Left,
        /// The caller is gone or the deadline has passed; nothing more is to be tried.
        GivenUp,
    };

    /// An attempt that may be made: it has an endpoint, a retry of the budget, and the home knows of it.
    struct NextAttempt {
        RouteChoice choice;
        AttemptId attempt;
        Duration backoff{};
    };

    boost::asio::awaitable<absl::Status> serve();
    boost::asio::awaitable<absl::Status> enterQueue();
    boost::asio::awaitable<absl::StatusOr<AdmitDecision>> admit();
    boost::asio::awaitable<absl::Status> runAttempts(Grant grant);
    boost::asio::awaitable<AttemptEnd> runAttempt(const Grant &grant, const RouteChoice &choice);
    absl::StatusOr<RouteChoice> nextEndpoint();
    std::optional<SoftwareVersion> requiredVersion() const;
    boost::asio::awaitable<bool> beginAttempt(const RouteChoice &choice);
    boost::asio::awaitable<absl::Status> announce(const AttemptId &attempt, const RouteChoice &choice);
    boost::asio::awaitable<bool> placeNext(const RouteChoice &current);
    void takeNextBack(const RouteChoice &current);
    boost::asio::awaitable<std::optional<AttemptEnd>> leaveSilent(const RouteChoice &choice);
    boost::asio::awaitable<std::optional<AttemptEnd>> leaveUnreachable(const RouteChoice &choice);
    boost::asio::awaitable<AttemptEnd> follow(RunStream &stream, const RouteChoice &choice);
    boost::asio::awaitable<AttemptEnd> relayChunks(RunStream &stream, wire::RunUpdate first);
    boost::asio::awaitable<AttemptEnd> followDuplicate(const DuplicateRun &duplicate);
    boost::asio::awaitable<AttemptEnd> makeSureNotRunning(const RouteChoice &choice);
    boost::asio::awaitable<absl::StatusOr<RunRecord>> barAttempt(const RouteChoice &choice, bool cancels);
    boost::asio::awaitable<void> settle(Settlement settlement);
    absl::Status endOfFailedRun();
    bool isProvedByThisTry() const;
    absl::StatusOr<Duration> askForRetry(bool isProvedNotStarted);
    boost::asio::awaitable<bool> waitToRetry(bool isProvedNotStarted);
    wire::RunRequest runRequest(const Grant &grant, const RouteChoice &choice) const;
    void note(std::string text);

    SessionServices m_services;
    HttpExchange &m_exchange;
    RunPlan m_plan;
    Instant m_deadline;
    std::unique_ptr<AnswerRelay> m_relay;
    /// The same object as m_relay where the answer is a chat, which a later attempt can go on with.
    ChatStreamRelay *m_stream = nullptr;
    std::unique_ptr<HomeSession> m_home;
    GatePass m_pass;
    AttemptId m_attempt;
    AttemptId m_grantedAttempt;
    Instant m_portionConfirmedAt;
    std::optional<NextAttempt> m_next;
    std::vector<EndpointId> m_excluded;
    /// The software that began the answer of which a part was delivered or kept.
    SoftwareVersion m_answerVersion;
    absl::Status m_lastFailure;
    std::int64_t m_charged = 0;
    int m_attempts = 0;
    bool m_mayHaveRun = false;
    bool m_hasJoinedOther = false;
    bool m_isDuplicate = false;
    std::optional<Instant> m_dispatchedAt;
};

}
