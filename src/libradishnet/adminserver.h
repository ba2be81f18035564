#pragma once

#include "httpserver.h"
#include "metrics.h"

#include <atomic>
#include <map>
#include <string>

namespace RadishSwitch
{

/// The door for operators and supervisors: `/metrics` in the Prometheus text format, `/livez`, `/readyz`, and what a
/// program adds. It stays open while the program drains.
class AdminServer
{
public:
    AdminServer(WorkerPool &workers, Metrics &metrics);

    /// Adds a path, before `listen`. The query is not part of it.
    void handle(const std::string &path, HttpServer::Handler handler);

    /// Port 0 takes a free one. InvalidSettings when it can't be bound.
    absl::Status listen(const std::string &address, std::uint16_t port);

    std::uint16_t port() const;

    /// What `/readyz` answers: 200 or 503. Not ready at first.
    void setReady(bool isReady);

    void close();

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    HttpResponse answerOf(const std::string &path) const;

    Metrics &m_metrics;
    std::atomic<bool> m_isReady = false;
    std::map<std::string, HttpServer::Handler> m_handlers;
    HttpServer m_server;
};

}
