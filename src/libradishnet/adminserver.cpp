#include "adminserver.h"

#include "base/failure.h"
#include "httperror.h"

namespace RadishSwitch
{

namespace
{

constexpr std::chrono::milliseconds kReadyRetryAfter{1000};

HttpResponse makeTextResponse(std::string text, const std::string &type = "text/plain; charset=utf-8")
{
    HttpResponse response;
    response.headers.add("Content-Type", type);
    response.body = std::move(text);
    return response;
}

}

AdminServer::AdminServer(WorkerPool &workers, Metrics &metrics)
    : m_metrics(metrics)
    , m_server(workers, HttpServerSettings(), [this](HttpExchange &exchange) {
        return serve(exchange);
    })
{
}

void AdminServer::handle(const std::string &path, HttpServer::Handler handler)
{
    m_handlers[path] = std::move(handler);
}

absl::Status AdminServer::listen(const std::string &address, std::uint16_t port)
{
    return m_server.listen(address, port);
}

std::uint16_t AdminServer::port() const
{
    return m_server.port();
}

void AdminServer::setReady(bool isReady)
{
    m_isReady = isReady;
}

void AdminServer::close()
{
    m_server.close();
}

boost::asio::awaitable<void> AdminServer::serve(HttpExchange &exchange)
{
    const std::string &target = exchange.request().target;
    const std::string path = target.substr(0, target.find('?'));
    if (const HttpServer::Handler *handler = handlerOf(path)) {
        co_await (*handler)(exchange);
        co_return;
    }
    HttpResponse response = answerOf(path);
    (void)co_await exchange.respond(std::move(response));
}

const HttpServer::Handler *AdminServer::handlerOf(const std::string &path) const
{
    const auto it = m_handlers.find(path);
    if (it != m_handlers.end()) {
        return &it->second;
    }
    const auto folder = m_handlers.find(path.substr(0, path.rfind('/') + 1));
    return folder == m_handlers.end() ? nullptr : &folder->second;
}

HttpResponse AdminServer::answerOf(const std::string &path) const
{
    if (path == "/metrics") {
        return makeTextResponse(m_metrics.toText(), "text/plain; version=0.0.4; charset=utf-8");
    }
    if (path == "/livez") {
        return makeTextResponse("alive\n");
    }
    if (path == "/readyz" && m_isReady) {
        return makeTextResponse("ready\n");
    }
    if (path == "/readyz") {
        return makeErrorResponse(makeFailure(FailureCode::Draining, "starting or stopping", kReadyRetryAfter));
    }
    return makeErrorResponse(makeFailure(FailureCode::UnknownRoute, "there is no " + path));
}

}
