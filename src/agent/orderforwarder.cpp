#include "orderforwarder.h"

#include "base/failure.h"
#include "wireconversion.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr char kOrderTarget[] = "/orders";
/// Loading a large model takes minutes.
constexpr Duration kOrderTimeout = std::chrono::minutes(10);
constexpr int kConflict = 409;

std::string bodyOf(const wire::OrderRequest &order)
{
    return nlohmann::json{{"fence", order.fence()}, {"action", order.action()}, {"name", order.name()}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::Status statusOf(const absl::StatusOr<EndpointDocument> &answer)
{
    if (!answer.ok()) {
        absl::Status failure = makeFailure(FailureCode::EndpointFailed, std::string(answer.status().message()));
        return outcomeOf(answer.status()) == RunOutcome::NotRun ? failure : withUnknownOutcome(std::move(failure));
    }
    const int status = answer->head.status;
    if (status >= 200 && status < 300) {
        return absl::OkStatus();
    }
    if (status == kConflict) {
        return makeFailure(FailureCode::StaleFence, "the endpoint has seen a later holder");
    }
    if (status >= 400 && status < 500) {
        return makeFailure(FailureCode::InvalidRequest, "the endpoint refused the order");
    }
    return withUnknownOutcome(makeFailure(FailureCode::EndpointFailed, "the endpoint failed at the order"));
}

wire::OrderAnswer answerOf(const absl::Status &status)
{
    wire::OrderAnswer answer;
    if (!status.ok()) {
        *answer.mutable_failure() = failureToWire(status);
    }
    return answer;
}

}

OrderForwarder::OrderForwarder(Endpoint &endpoint, FenceGate gate)
    : m_endpoint(endpoint)
    , m_gate(std::move(gate))
{
}

void OrderForwarder::execute(const wire::OrderRequest &order, Callback callback)
{
    absl::Status status;
    {
        const std::lock_guard lock(m_mutex);
        status = m_gate.admit(PoolId(order.pool()), IncarnationId(order.agent_incarnation()), order.fence());
        if (status.ok()) {
            m_waiting.push_back({order, std::move(callback)});
            if (m_waiting.size() == 1) {
                forwardNext();
            }
            return;
        }
    }
    callback(answerOf(status));
}

void OrderForwarder::forwardNext()
{
    EndpointQuery query;
    query.method = "POST";
    query.target = kOrderTarget;
    query.contentType = "application/json";
    query.body = bodyOf(m_waiting.front().order);
    m_endpoint.fetch(std::move(query), kOrderTimeout, [weak = weak_from_this()](const auto &answer) {
        if (const auto self = weak.lock()) {
            self->takeAnswer(answer);
        }
    });
}

void OrderForwarder::takeAnswer(const absl::StatusOr<EndpointDocument> &answer)
{
    Callback callback;
    {
        const std::lock_guard lock(m_mutex);
        callback = std::move(m_waiting.front().callback);
        m_waiting.pop_front();
        if (!m_waiting.empty()) {
            forwardNext();
        }
    }
    callback(answerOf(statusOf(answer)));
}

}
