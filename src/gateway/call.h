#pragma once

#include "callservices.h"
#include "httpserver.h"
#include "serving/attemptrules.h"
#include "serving/eventsplitter.h"
#include "serving/requestfingerprint.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

namespace RadishSwitch
{

/// One call of a caller, from its request to the last byte of the answer.
///
/// The class identifies the organisation, reserves tokens, places the call at an endpoint, relays the answer, and makes
/// further attempts when an endpoint fails.
class Call
{
public:
    Call(CallServices &services, HttpExchange &exchange, ServingTablePointer table);

    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    /// Serves the call and answers the caller. Returns when the call has ended.
    boost::asio::awaitable<void> run();

private:
    using ConnectionPointer = EndpointConnections::ConnectionPointer;

    /// One attempt to have the call run by an endpoint.
    struct Attempt {
        Placement placement;
        ConnectionPointer connection;
        /// The head of the answer, if it was already read while the earlier attempt was still open.
        std::optional<AnswerHead> head;
        /// When bytes of the answer last arrived, or when the call was sent if none have arrived yet.
        Instant lastActivityAt{};
        /// Whether the connection is delivering the answer to an earlier call, which precedes the answer to this call.
        bool isReadingStrayAnswer = false;
        /// Number of answers to other calls that came before the answer to this call.
        int strayAnswers = 0;
        bool isSilenceLogged = false;
        /// It was sent to continue a stream.
        bool isContinuation = false;
        /// The connection was established, but the gateway decided not to send the call.
        bool isWithdrawn = false;
        /// Whether the endpoint was asked for its start after the first event of a continuation.
        bool isStartAsked = false;
        /// What tells where the answer ends; empty before its head has been read.
        std::optional<AnswerFraming> framing;
        /// What became of the process that wrote the answer, where the answer ended with its connection.
        std::optional<WriterState> writer;
        /// The endpoint answered with a server error, which is relayed to the caller.
        bool hasFailed = false;
        /// When the first part of the answer's body arrived.
        std::optional<Instant> answeringSince;
        /// Number of crashes attributed to the request at the time it was sent.
        int crashesBefore = 0;
        /// Why no connection could be established, or why it did not deliver a complete answer.
        absl::Status failure;
    };

    /// How the attempt failed; empty if the answer was relayed to the caller.
    using AttemptResult = std::optional<AttemptEnd>;

    // call.cpp: the steps of a call, from its request to the log line at its end.
    absl::Status prepare();
    absl::Status identifyOrganisation();
    const ServedPool *choosePool();
    bool continuesStream() const;
    boost::asio::awaitable<absl::Status> findStreamOrigin();
    absl::Status continueAt(const StreamOrigin &origin);
    PlacementQuery placementQuery() const;
    int priority() const;
    boost::asio::awaitable<absl::Status> reserve();
    boost::asio::awaitable<absl::Status> serve();
    boost::asio::awaitable<absl::Status> startNextAttempt();
    boost::asio::awaitable<absl::StatusOr<Placement>> place();
    boost::asio::awaitable<absl::StatusOr<Placement>> placeOnce();
    bool mustRegisterStream(const Placement &placement) const;
    boost::asio::awaitable<absl::Status> registerStream();
    void logNotRegistered(const Placement &placement, const absl::Status &status) const;
    OrganisationId organisation() const;
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
    SharedPrompt sharedPrompt() const;
    absl::Status checkPoison() const;
    absl::Status checkPoisonOnArrival();

    // callattempt.cpp: one attempt at an endpoint.
    boost::asio::awaitable<void> start(Attempt &attempt);
    boost::asio::awaitable<absl::Status> connect(Attempt &attempt);
    boost::asio::awaitable<absl::Status> connectAnew(Attempt &attempt);
    absl::Status checkBeforeSending(const Attempt &attempt) const;
    static AttemptEnd endUnsent(const Attempt &attempt);
    void noteConnectTime(const Placement &placement, Duration taken, const absl::Status &status) const;
    void send(Attempt &attempt);
    void noteContinued(const Attempt &attempt) const;
    boost::asio::awaitable<absl::StatusOr<AnswerHead>> readHead(Attempt &attempt);
    static bool mayBeginWithOtherAnswers(const Attempt &attempt);
    void applyNotice(const Attempt &attempt, const AnswerHead &head) const;
    boost::asio::awaitable<absl::Status> skipStrayAnswer(Attempt &attempt);
    AttemptEnd endUnanswered(Attempt &attempt, const absl::Status &status);
    boost::asio::awaitable<AttemptEnd> endRefused(Attempt &attempt, const AnswerHead &head);
    void finish(Attempt &attempt, AttemptResult result);
    void notePoison(const Attempt &attempt, AttemptResult result);
    static EndpointIncarnation incarnationOf(const Placement &placement);
    CrashedRun crashedRun(const Attempt &attempt) const;
    void noteAnswering();
    RunEnd runEndOf(const Attempt &attempt, AttemptResult result) const;
    AtExpiry atExpiry(Duration wait) const;
    void logAttempt(const Attempt &attempt, AttemptEnd end) const;
    Duration silenceDuration(const Attempt &attempt) const;
    Duration answeringTime(const Attempt &attempt) const;

    // callrelay.cpp: relaying the answer to the caller.
    boost::asio::awaitable<AttemptResult> relay();
    boost::asio::awaitable<absl::StatusOr<AnswerHead>> awaitHead();
    boost::asio::awaitable<AttemptResult> relayWhole(const AnswerHead &head);
    boost::asio::awaitable<AttemptResult> relayStream(const AnswerHead &head);
    boost::asio::awaitable<absl::Status> checkEnd();
    boost::asio::awaitable<WriterState> askWriter(Duration longest);
    bool mustAwaitWriter() const;
    HeldAnswer holdAnswer();
    absl::Status checkStream(HeldAnswer &held) const;
    bool hasEndedBeforeFirstEvent() const;
    static bool endsWithConnection(const Attempt &attempt);
    static std::string_view framingName(const Attempt &attempt);
    boost::asio::awaitable<absl::StatusOr<std::string>> awaitEvents();
    boost::asio::awaitable<absl::Status> forwardToCaller(const AnswerHead &head, const std::string &events);
    void noteFirstEvents();
    boost::asio::awaitable<bool> mayForwardEvents();
    bool checkWriter();
    void noteFirstAnswer();
    Duration firstAnswerWait() const;

    // callsuccessor.cpp: a second attempt at another endpoint while the first endpoint is silent.
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

    /// When the gateway refuses a stream that has no first event yet, shortly before its caller would disconnect.
    Instant streamPatienceEnd() const;
    /// Time until the deadline of the call; for a stream without a first event, until that event is due if sooner.
    Duration timeLeft() const;
    /// `timeLeft`, but never less than the shortest timer of 1 ms.
    Duration remainingWait() const;
    /// The span, or `remainingWait` if that is shorter.
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
    /// The end of the caller's timeout or of the route's timeout, whichever is earlier.
    Instant m_deadline;
    /// Until when the first event of a stream must have been relayed; never for other calls.
    Instant m_streamStartDeadline = Instant::max();

    AttemptHistory m_history;
    std::vector<EndpointId> m_tried;
    /// The attempt whose answer is relayed to the caller.
    Attempt m_attempt;
    /// The attempt at another endpoint that replaces `m_attempt` once it has begun to answer.
    std::optional<Attempt> m_successor;
    EventSplitter m_eventSplitter;
    /// Where the stream began, from its first event on; for a call that continues a stream from the start.
    std::optional<StreamOrigin> m_streamOrigin;
    /// Whether the stream may begin at another version than the established one, since its holders know of it.
    bool m_isStreamRegistered = false;
    /// The only version at which the stream may begin, since its holders can't be reached.
    std::optional<SoftwareVersion> m_beginsOnlyAt;
    /// The endpoint that sent the first events to this call's caller; empty before.
    EndpointId m_firstWriter;
    /// The last decision on whether a further attempt may be made; for the log.
    std::optional<FurtherAttempt> m_furtherAttempt;
    std::optional<Duration> m_firstAnswerTime;
    Duration m_reservationTime{};
    /// Total time that the call waited in the queue for endpoints.
    Duration m_queueWait{};
    int m_answeredStatus = 0;
    /// The retry budget has granted a retry that has not been sent yet.
    bool m_hasRetry = false;
    bool m_isReserved = false;
    /// The call is sent though a part of its prompt is barred; see PartBars.
    bool m_isPoisonTrial = false;
    bool m_isCallerDisconnected = false;
    /// The head of a streamed answer was sent to the caller. From then on a failure can only be shown by closing the
    /// connection.
    bool m_hasStreamStarted = false;
    bool m_isAnswered = false;
    /// When the detection of poison parts was last told that the endpoint goes on writing the answer.
    Instant m_answeringNotedAt = Instant::min();
    /// Computed on first use, since most calls need none.
    mutable std::optional<RequestFingerprint> m_fingerprint;
};

}
