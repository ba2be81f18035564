#pragma once

#include "executionrecords.h"
#include "httpserver.h"
#include "servicefaults.h"
#include "socketaddress.h"
#include "workerpool.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <mutex>
#include <string>

namespace RadishSwitch
{

/// A plain service: it executes any call on any path, each time that it is asked, and answers with serviceAnswer().
/// GET /load and /livez are as at an engine; for tests there are GET /standin/runs and POST /standin/faults.
class ServiceServer
{
public:
    ServiceServer(WorkerPool &workers, std::string name, int capacity, const std::string &recordFile);

    absl::Status listen(const SocketAddress &address);
    std::uint16_t port() const;

private:
    boost::asio::awaitable<void> handle(HttpExchange &exchange);
    boost::asio::awaitable<void> execute(HttpExchange &exchange);
    boost::asio::awaitable<ExecutionState> answer(HttpExchange &exchange, std::uint64_t number);
    HttpResponse changeFaults(const std::string &document);
    ServiceFaults faults() const;
    std::string loadReport() const;

    std::string m_name;
    int m_capacity;
    mutable std::mutex m_mutex;
    ServiceFaults m_faults;
    int m_running = 0;
    ExecutionRecords m_records;
    HttpServer m_server;
};

}
