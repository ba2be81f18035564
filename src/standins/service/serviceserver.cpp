#include "serviceserver.h"

#include "contenthash.h"
#include "serviceanswer.h"
#include "standinprogram.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace RadishSwitch
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::seconds kFaultCheckInterval(1);
/// What a shell shows for a process that was killed.
constexpr int kKilledExitCode = 137;

asio::awaitable<void> sleepFor(Duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

}

ServiceServer::ServiceServer(WorkerPool &workers, std::string name, int capacity, const std::string &recordFile)
    : m_name(std::move(name))
    , m_capacity(capacity)
    , m_records(recordFile)
    , m_server(workers, HttpServerSettings(), [this](HttpExchange &exchange) {
        return handle(exchange);
    })
{
}

absl::Status ServiceServer::listen(const SocketAddress &address)
{
    return m_server.listen(address.ip(), address.port());
}

std::uint16_t ServiceServer::port() const
{
    return m_server.port();
}

asio::awaitable<void> ServiceServer::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string path = pathOf(request.target);
    if (path == "/standin/faults") {
        co_await exchange.respond(changeFaults(request.body));
    } else if (path == "/standin/runs") {
        co_await exchange.respond(jsonResponse(200, m_records.toJson()));
    } else if (path == "/load") {
        co_await exchange.respond(jsonResponse(200, loadReport()));
    } else if (path == "/livez") {
        co_await exchange.respond(jsonResponse(200, R"({"ok":true})"));
    } else if (faults().isRefusing) {
        co_await exchange.respond(errorResponse(503, "overloaded", "the service takes no calls"));
    } else {
        co_await execute(exchange);
    }
}

asio::awaitable<void> ServiceServer::execute(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    Execution execution;
    execution.service = m_name;
    execution.method = request.method;
    execution.target = request.target;
    execution.requestId = request.headers.find("X-Request-Id").value_or("");
    execution.attemptId = request.headers.find("X-Attempt-Id").value_or("");
    execution.contentHash = serviceCallHash(request.target, request.body);
    const std::uint64_t number = m_records.add(std::move(execution));
    {
        const std::lock_guard lock(m_mutex);
        ++m_running;
    }
    const ExecutionState state = co_await answer(exchange, number);
    m_records.finish(number, state);
    const std::lock_guard lock(m_mutex);
    --m_running;
}

asio::awaitable<ExecutionState> ServiceServer::answer(HttpExchange &exchange, std::uint64_t number)
{
    const ServiceFaults present = faults();
    if (present.delay > Duration::zero()) {
        co_await sleepFor(present.delay);
    }
    if (present.isNeverAnswering) {
        while (faults().isNeverAnswering) {
            co_await sleepFor(kFaultCheckInterval);
        }
        exchange.abort();
        co_return ExecutionState::Lost;
    }
    const bool isLost =
        present.lostAnswerInterval > 0 && number % static_cast<std::uint64_t>(present.lostAnswerInterval) == 0;
    if (isLost) {
        exchange.abort();
        co_return ExecutionState::Lost;
    }
    const HttpRequest &request = exchange.request();
    const absl::Status status =
        co_await exchange.respond(jsonResponse(200, serviceAnswer(request.method, request.target, request.body)));
    co_return status.ok() ? ExecutionState::Done : ExecutionState::Cancelled;
}

HttpResponse ServiceServer::changeFaults(const std::string &document)
{
    const std::lock_guard lock(m_mutex);
    const auto changed = changedFaults(m_faults, document);
    if (!changed.ok()) {
        return errorResponse(400, "invalid_request", std::string(changed.status().message()));
    }
    m_faults = *changed;
    if (m_faults.isDying) {
        std::_Exit(kKilledExitCode);
    }
    return jsonResponse(200, R"({"ok":true})");
}

ServiceFaults ServiceServer::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::string ServiceServer::loadReport() const
{
    const std::lock_guard lock(m_mutex);
    const nlohmann::json report{
        {"running", m_running},
        {"queued", 0},
        {"capacity", m_capacity},
        {"queued_tokens", 0},
        {"tokens_per_second", 0},
        {"models", nlohmann::json::array()},
        {"adapters", nlohmann::json::array()},
        {"version", "1"},
        {"cache_events", nlohmann::json::array()},
    };
    return report.dump();
}

}
