#pragma once

#include "httpserver.h"
#include "requestcounts.h"
#include "requestsession.h"
#include "table/tablefollower.h"

#include <atomic>

namespace RadishSwitch
{

/// Where callers come in: finds out what a request wants, and has a session serve it.
class HttpDoor
{
public:
    HttpDoor(SessionServices services, TableFollower &table, RequestCounts &counts);

    /// Serves one request.
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

    /// From now on new requests are refused as Draining; those in progress go on.
    void setDraining();

private:
    boost::asio::awaitable<void> listModels(HttpExchange &exchange, const SteeringTable &table);

    boost::asio::awaitable<void> refuse(HttpExchange &exchange, const absl::Status &status,
                                        const std::string &requestId);

    SessionServices m_services;
    TableFollower &m_table;
    RequestCounts &m_counts;
    std::atomic<bool> m_isDraining = false;
};

}
