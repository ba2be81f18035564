#pragma once

#include "callservices.h"
#include "httpserver.h"
#include "serving/attemptrules.h"
#include "serving/eventcutter.h"
#include "serving/requestfingerprint.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

namespace RadishSwitch
{

/// One call of a caller, from its request to the last byte of the answer: who it is from, what it may cost, where it
/// runs, and what is done when an endpoint fails it.
class Call
{
public:
    Call(CallServices &services, HttpExchange &exchange, ServingTablePointer table);

    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    /// Serves the call and answers the caller.
    boost::asio::awaitable<void> run();

private:
    using ConnectionPointer = EndpointConnections::ConnectionPointer;

    /// The call at one endpoint.
    struct Attempt {
        Placement placement;
        ConnectionPointer connection;
        /// The beginning of the answer, where it was read while an earlier attempt was still kept.
        std::optional<AnswerHead> head;
        /// When the call was sent, or when bytes of its answer came last.
        Instant lastActivityAt{};
        /// Whether an answer to another call is being read, behind which that of this one comes.
        bool isReadingStrayAnswer = false;
        bool isSilenceLogged = false;
        /// Its connection stood, and it was not sent all the same.
        bool isWithdrawn = false;
        /// The endpoint's answer, which is passed on, says that it failed the call.
        bool hasFailed = false;
        /// Crashes that counted against the request when it was sent.
        int crashesBefore = 0;
        /// Why its connection could not be had, or gave no whole answer.
        absl::Status failure;
    };

    /// Nothing when the caller has its answer.
    using AttemptResult = std::optional<AttemptEnd>;

    // call.cpp: what the call is and what becomes of it.
    absl::Status prepare();
    absl::Status identifyOrganisation();
    const ServedPool *choosePool();
    PlacementQuery placementQuery() const;
    int priority() const;
    boost::asio::awaitable<absl::Status> reserve();
    boost::asio::awaitable<absl::Status> serve();
    boost::asio::awaitable<absl::Status> startNextAttempt();
    boost::asio::awaitable<absl::StatusOr<Placement>> place();
    FurtherAttempt checkFurtherAttempt(AttemptEnd end);
    bool grantRetry(AttemptEnd end);
    void returnRetry();
    void settle();
    std::int64_t usedTokens() const;
    void abandonAttempt(const Attempt &attempt);
    boost::asio::awaitable<void> refuse(const absl::Status &status);
    void noteDelivery(const absl::Status &status) const;
    void handleCallerDisconnected();
    void logEnd(const absl::Status &status) const;
    const RequestFingerprint &fingerprint() const;
    absl::Status checkPoison() const;

    // callattempt.cpp: one attempt at an endpoint.
    boost::asio::awaitable<void> start(Attempt &attempt);
    boost::asio::awaitable<absl::Status> connect(Attempt &attempt);
    boost::asio::awaitable<absl::Status> connectAnew(Attempt &attempt);
    absl::Status checkBeforeSending(const Attempt &attempt) const;
    static AttemptEnd endUnsent(const Attempt &attempt);
    void noteConnectTime(const Placement &placement, Duration taken, const absl::Status &status) const;
    void send(Attempt &attempt);
    boost::asio::awaitable<absl::StatusOr<AnswerHead>> readHead(Attempt &attempt);
    void applyNotice(const Attempt &attempt, const AnswerHead &head) const;
    boost::asio::awaitable<absl::Status> skipStrayAnswer(Attempt &attempt);
    AttemptEnd endUnanswered(Attempt &attempt, const absl::Status &status);
    boost::asio::awaitable<AttemptEnd> endRefused(Attempt &attempt, const AnswerHead &head);
    void finish(Attempt &attempt, AttemptResult result);
    void notePoison(const Attempt &attempt, AttemptResult result);
    RunEnd runEndOf(const Attempt &attempt, AttemptResult result) const;
    AtExpiry atExpiry(Duration wait) const;
    void logAttempt(const Attempt &attempt, AttemptEnd end) const;
    Duration silenceDuration(const Attempt &attempt) const;

    // callrelay.cpp: the answer on its way to the caller.
    boost::asio::awaitable<AttemptResult> relay();
    boost::asio::awaitable<absl::StatusOr<AnswerHead>> awaitHead();
    boost::asio::awaitable<AttemptResult> relayWhole(const AnswerHead &head);
    boost::asio::awaitable<AttemptResult> relayStream(const AnswerHead &head);
    boost::asio::awaitable<absl::StatusOr<std::string>> awaitEvents();
    boost::asio::awaitable<absl::Status> forwardToCaller(const AnswerHead &head, const std::string &events);
    void noteFirstAnswer();
    Duration firstAnswerWait() const;

    // callsuccessor.cpp: another endpoint for a call whose endpoint says nothing.
    bool isSilentButOpen(const Attempt &attempt, const absl::Status &status) const;
    Duration silenceTimeout(Duration wait) const;
    boost::asio::awaitable<bool> findSuccessor();
    boost::asio::awaitable<bool> startSuccessor();
    boost::asio::awaitable<bool> awaitSuccessorAnswer();
    boost::asio::awaitable<absl::StatusOr<AnswerHead>> pollSuccessor(Instant end);
    Duration overlapTimeout() const;
    void dropUnansweredSuccessor();
    void cancelSuccessor();
    void dropSuccessor(AttemptEnd end);

    /// When the caller leaves that has seen no event of its stream yet.
    Instant streamPatienceEnd() const;
    /// Until the answer must have come, or for a stream its first event.
    Duration timeLeft() const;
    /// What is left of the call's time, and at least what a timer takes.
    Duration remainingWait() const;
    /// The span, or the rest of the call's time where that is less.
    Duration limitToTimeLeft(Duration span) const;
    bool mayRunAgain() const;
    static bool isSuccess(int status);
    static bool isServerError(int status);

    CallServices &m_services;
    HttpExchange &m_exchange;
    const ServingTablePointer m_table;
    const Instant m_startedAt;

    CallRequest m_request;
    const ServingRoute *m_route = nullptr;
    const ServedOrganisation *m_organisation = nullptr;
    const ServedPool *m_pool = nullptr;
    /// When the caller's patience or the route's timeout ends.
    Instant m_deadline;
    /// By when a stream must have begun.
    Instant m_streamStartDeadline = Instant::max();

    AttemptHistory m_history;
    std::vector<EndpointId> m_tried;
    /// The attempt whose answer goes to the caller.
    Attempt m_attempt;
    /// The one that is to take its place, or has done so.
    std::optional<Attempt> m_successor;
    EventCutter m_eventCutter;
    /// Whether another attempt was to follow when that was asked last.
    std::optional<FurtherAttempt> m_furtherAttempt;
    std::optional<Duration> m_firstAnswerTime;
    Duration m_reservationTime{};
    /// Time that the call waited for endpoints.
    Duration m_queueWait{};
    int m_answeredStatus = 0;
    /// Whether the retry budget has granted a retry that was not made yet.
    bool m_hasRetry = false;
    bool m_isReserved = false;
    bool m_isCallerDisconnected = false;
    /// The head of a streamed answer went to the caller: from now on it gets events or a broken connection.
    bool m_hasStreamStarted = false;
    bool m_isAnswered = false;
    /// Made when it is first asked for: most calls need none.
    mutable std::optional<RequestFingerprint> m_fingerprint;
};

}
