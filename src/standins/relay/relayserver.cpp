#include "relayserver.h"
#include "standinprogram.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

RelayServer::RelayServer(WorkerPool &workers, const std::vector<LinkSettings> &links)
    : m_control(workers, HttpServerSettings(), [this](HttpExchange &exchange) {
        return handle(exchange);
    })
{
    for (const LinkSettings &link : links) {
        m_links.push_back(std::make_unique<RelayLink>(workers, link));
    }
}

absl::Status RelayServer::listen(const SocketAddress &control)
{
    for (const auto &link : m_links) {
        const absl::Status status = link->listen();
        if (!status.ok()) {
            return status;
        }
    }
    return m_control.listen(control.ip(), control.port());
}

std::uint16_t RelayServer::port() const
{
    return m_control.port();
}

boost::asio::awaitable<void> RelayServer::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (request.method == "POST" && request.target == "/standin/faults") {
        co_await exchange.respond(changeFaults(request.body));
    } else if (request.method == "GET" && request.target == "/standin/links") {
        co_await exchange.respond(jsonResponse(200, linkList()));
    } else {
        co_await exchange.respond(errorResponse(404, "unknown_route", "no such path here"));
    }
}

HttpResponse RelayServer::changeFaults(const std::string &document)
{
    const auto order = faultOrderOfJson(document);
    if (!order.ok()) {
        return errorResponse(400, "invalid_request", std::string(order.status().message()));
    }
    int links = 0;
    int connections = 0;
    for (const auto &link : m_links) {
        const bool isMeant = (order->group.empty() || order->group == link->settings().group)
            && (order->link.empty() || order->link == link->address());
        if (isMeant) {
            connections += link->apply(*order);
            ++links;
        }
    }
    if (links == 0) {
        return errorResponse(404, "unknown_link", "no such link or group");
    }
    return jsonResponse(200, nlohmann::json{{"links", links}, {"connections", connections}}.dump());
}

std::string RelayServer::linkList() const
{
    auto list = nlohmann::json::array();
    for (const auto &link : m_links) {
        list.push_back({{"listen", link->address()},
                        {"target", link->settings().target},
                        {"group", link->settings().group},
                        {"open", link->openConnections()}});
    }
    return nlohmann::json{{"links", list}}.dump();
}

}
