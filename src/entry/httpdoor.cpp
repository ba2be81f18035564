#include "httpdoor.h"

#include "apierror.h"
#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr std::chrono::milliseconds kDrainingRetryAfter(500);

}

HttpDoor::HttpDoor(SessionServices services, TableFollower &table, RequestCounts &counts)
    : m_services(services)
    , m_table(table)
    , m_counts(counts)
{
}

void HttpDoor::setDraining()
{
    m_isDraining = true;
}

boost::asio::awaitable<void> HttpDoor::handle(HttpExchange &exchange)
{
    const SteeringTablePointer table = m_table.current();
    const std::string freshName = m_services.random.freshName() + m_services.random.freshName();
    if (m_isDraining) {
        const absl::Status status = makeFailure(
            FailureCode::Draining, "this entry is stopping; another takes the request", kDrainingRetryAfter);
        co_await refuse(exchange, status, freshName);
        co_return;
    }
    if (exchange.request().method == "GET" && exchange.request().target == "/v1/models") {
        co_await listModels(exchange, *table);
        co_return;
    }
    absl::StatusOr<RunPlan> plan = planRun(exchange.request(), *table, freshName, m_services.random.fraction());
    if (!plan.ok()) {
        co_await refuse(exchange, plan.status(), freshName);
        co_return;
    }
    RequestSession session(m_services, exchange, std::move(*plan));
    const absl::Status status = co_await session.run();
    if (status.ok()) {
        m_counts.noteAnswered();
    } else {
        m_counts.noteRefused(failureCode(status));
    }
}

boost::asio::awaitable<void> HttpDoor::refuse(HttpExchange &exchange, const absl::Status &status,
                                              const std::string &requestId)
{
    m_counts.noteRefused(failureCode(status));
    (void)co_await exchange.respond(errorResponse(status, requestId));
}

boost::asio::awaitable<void> HttpDoor::listModels(HttpExchange &exchange, const SteeringTable &table)
{
    const absl::StatusOr<const OrganisationRow *> organisation = authenticate(exchange.request(), table);
    if (!organisation.ok()) {
        co_await refuse(exchange, organisation.status(), std::string());
        co_return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const std::string &model : table.modelsOf((*organisation)->name)) {
        list.push_back({{"id", model}, {"object", "model"}, {"owned_by", "radishswitch"}});
    }
    HttpResponse response;
    response.headers.add("Content-Type", "application/json");
    response.body = nlohmann::json{{"object", "list"}, {"data", list}}.dump();
    (void)co_await exchange.respond(std::move(response));
}

}
