#pragma once

#include "httpserver.h"
#include "requestsession.h"
#include "tablefollower.h"

#include <atomic>

namespace RadishSwitch
{

/// Where callers come in: finds out what a request wants, and has a session serve it.
class HttpDoor
{
public:
    HttpDoor(SessionServices services, TableFollower &table);

    /// Serves one request.
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

    /// From now on new requests are refused as Draining; those in progress go on.
    void setDraining();

private:
    boost::asio::awaitable<void> listModels(HttpExchange &exchange, const SteeringTable &table);

    SessionServices m_services;
    TableFollower &m_table;
    std::atomic<bool> m_isDraining = false;
};

}
