#pragma once

#include "callservices.h"
#include "httpserver.h"
#include "serving/attemptrules.h"
#include "serving/eventcutter.h"

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
    boost::asio::awaitable<absl::StatusOr<Placement>> place();
    FurtherAttempt askForAnother(AttemptEnd end);
    bool grantRetry(AttemptEnd end);
    void settle();
    std::int64_t usedTokens() const;
    boost::asio::awaitable<void> refuse(const absl::Status &status);
    void noteDelivery(const absl::Status &status) const;
    void handleCallerGone();
    void logEnd(const absl::Status &status) const;

    // callattempt.cpp: one attempt at an endpoint.
    boost::asio::awaitable<AttemptResult> attempt(const Placement &placement);
    boost::asio::awaitable<absl::Status> connect(const Placement &placement);
    boost::asio::awaitable<AttemptResult> exchangeWithEndpoint(const Placement &placement);
    boost::asio::awaitable<absl::StatusOr<AnswerHead>> readHead(const Placement &placement);
    boost::asio::awaitable<AttemptResult> relayWhole(const AnswerHead &head);
    boost::asio::awaitable<AttemptResult> relayStream(const AnswerHead &head);
    boost::asio::awaitable<absl::Status> passOn(const AnswerHead &head, const std::string &events);
    void noteFirstAnswer();
    boost::asio::awaitable<void> readRefusal();
    AttemptEnd endOf(const absl::Status &status) const;
    Duration firstAnswerWait(const Placement &placement) const;
    Duration nextEventWait() const;
    void logAttempt(const Placement &placement, AttemptEnd end) const;
    Duration sinceHeard() const;

    Duration timeLeft() const;
    bool mayRunAgain() const;

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

    AttemptHistory m_history;
    std::vector<EndpointId> m_tried;
    ConnectionPointer m_connection;
    HttpHeaders m_answerHeaders;
    EventCutter m_cutter;
    /// The endpoint of the latest attempt.
    EndpointId m_endpoint;
    /// When the latest attempt was sent, or when bytes of its answer came last.
    Instant m_heardAt{};
    /// What the latest attempt's connection saw when a wait on it was over.
    std::optional<ExpiredWait> m_expiredWait;
    /// Whether another attempt was to follow the one that failed last.
    std::optional<FurtherAttempt> m_further;
    std::optional<Duration> m_firstAnswerAfter;
    Duration m_reservedAfter{};
    /// Time that the call waited for endpoints.
    Duration m_waited{};
    int m_answeredStatus = 0;
    bool m_isReserved = false;
    bool m_isCallerGone = false;
    /// The head of a streamed answer went to the caller: from now on it gets events or a broken connection.
    bool m_hasBegun = false;
    bool m_isAnswered = false;
};

}
