#include "engineserver.h"

#include "base/failure.h"
#include "chatrun.h"
#include "standinprogram.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

namespace asio = boost::asio;

HttpResponse responseOf(const absl::Status &status)
{
    if (status.ok()) {
        return jsonResponse(200, R"({"ok":true})");
    }
    const FailureCode code = failureCode(status);
    return errorResponse(httpStatusOf(code) == 503 ? 409 : httpStatusOf(code), std::string(failureName(code)),
                         std::string(status.message()));
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

}

EngineServer::EngineServer(WorkerPool &workers, const EngineSettings &settings)
    : m_engine(settings)
    , m_server(workers, HttpServerSettings(), [this](HttpExchange &exchange) {
        return handle(exchange);
    })
{
}

absl::Status EngineServer::listen(const SocketAddress &address)
{
    return m_server.listen(address.ip(), address.port());
}

std::uint16_t EngineServer::port() const
{
    return m_server.port();
}

asio::awaitable<void> EngineServer::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (request.method == "POST" && pathOf(request.target) == "/v1/chat/completions") {
        co_await handleChat(exchange);
        co_return;
    }
    co_await exchange.respond(answerOf(request));
}

asio::awaitable<void> EngineServer::handleChat(HttpExchange &exchange)
{
    auto prompt = parseChatPrompt(exchange.request().body);
    if (!prompt.ok()) {
        co_await exchange.respond(errorResponse(400, "invalid_request", std::string(prompt.status().message())));
        co_return;
    }
    if (m_engine.faults().isRefusing) {
        co_await exchange.respond(errorResponse(503, "overloaded", "the engine takes no work"));
        co_return;
    }
    const EngineConfiguration configuration = m_engine.orders().configuration();
    if (!contains(configuration.models, prompt->model) && !contains(configuration.adapters, prompt->model)) {
        co_await exchange.respond(errorResponse(404, "model_not_found", "no such model here"));
        co_return;
    }
    ChatRun run(m_engine, exchange, *std::move(prompt));
    co_await run.run();
}

HttpResponse EngineServer::answerOf(const HttpRequest &request)
{
    const std::string path = pathOf(request.target);
    if (request.method == "POST") {
        return answerOfPost(path, request.body);
    }
    if (request.method != "GET") {
        return errorResponse(405, "invalid_request", "no such method here");
    }
    if (path == "/load") {
        std::uint64_t since = 0;
        const bool isGiven = absl::SimpleAtoi(queryParameter(request.target, "since"), &since);
        return jsonResponse(200, m_engine.loadReport(isGiven ? since : 0));
    }
    if (path == "/v1/models") {
        return jsonResponse(200, modelList());
    }
    if (path == "/standin/runs") {
        return jsonResponse(200, m_engine.records().toJson());
    }
    if (path == "/standin/orders") {
        return jsonResponse(200, m_engine.orders().toJson());
    }
    if (path == "/livez") {
        return jsonResponse(200, R"({"ok":true})");
    }
    return errorResponse(404, "unknown_route", "no such path here");
}

HttpResponse EngineServer::answerOfPost(const std::string &path, const std::string &body)
{
    if (path == "/orders") {
        return responseOf(m_engine.orders().execute(body));
    }
    if (path == "/standin/faults") {
        return responseOf(m_engine.changeFaults(body));
    }
    return errorResponse(404, "unknown_route", "no such path here");
}

std::string EngineServer::modelList() const
{
    auto list = nlohmann::json::array();
    const EngineConfiguration configuration = m_engine.orders().configuration();
    for (const auto &names : {configuration.models, configuration.adapters}) {
        for (const std::string &name : names) {
            list.push_back({{"id", name}, {"object", "model"}});
        }
    }
    return nlohmann::json{{"object", "list"}, {"data", list}}.dump();
}

}
