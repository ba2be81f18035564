#pragma once

#include "httpserver.h"
#include "relaylink.h"
#include "socketaddress.h"
#include "workerpool.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The relay's links and the door by which they are told to fail: POST /standin/faults, GET /standin/links. The workers
/// must be one thread.
class RelayServer
{
public:
    RelayServer(WorkerPool &workers, const std::vector<LinkSettings> &links);

    absl::Status listen(const SocketAddress &control);
    std::uint16_t port() const;

private:
    boost::asio::awaitable<void> handle(HttpExchange &exchange);
    HttpResponse changeFaults(const std::string &document);
    std::string linkList() const;

    std::vector<std::unique_ptr<RelayLink>> m_links;
    HttpServer m_control;
};

}
