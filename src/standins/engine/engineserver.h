#pragma once

#include "engine.h"
#include "httpserver.h"
#include "socketaddress.h"
#include "workerpool.h"

#include <utility>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace RadishSwitch
{

/// The doors of the stand-in engine: POST /v1/chat/completions, GET /v1/models, GET /load, POST /orders, GET /livez,
/// and for tests GET /standin/runs, GET /standin/orders and POST /standin/faults.
class EngineServer
{
public:
    EngineServer(WorkerPool &workers, const EngineSettings &settings);

    absl::Status listen(const SocketAddress &address);
    std::uint16_t port() const;

private:
    boost::asio::awaitable<void> handle(HttpExchange &exchange);
    boost::asio::awaitable<void> handleChat(HttpExchange &exchange);
    HttpResponse answerOf(const HttpRequest &request);
    HttpResponse answerOfPost(const std::string &path, const std::string &body);
    std::string modelList() const;

    mutable Engine m_engine;
    HttpServer m_server;
};

}
