#include "relaylink.h"

#include "base/failure.h"
#include "socketaddress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

absl::StatusOr<tcp::endpoint> endpointOf(const std::string &text)
{
    const auto parsed = parseSocketAddress(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(parsed->ip(), ec);
    if (ec) {
        return makeFailure(FailureCode::InvalidSettings, "no IP number: " + text);
    }
    return tcp::endpoint(address, parsed->port());
}

}

absl::StatusOr<LinkSettings> linkSettingsOfFlag(const std::string &text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        return makeFailure(FailureCode::InvalidSettings, "no LISTEN=TARGET[,GROUP]: " + text);
    }
    const auto comma = text.find(',', equals);
    LinkSettings settings;
    settings.listen = text.substr(0, equals);
    settings.target = text.substr(equals + 1, comma == std::string::npos ? comma : comma - equals - 1);
    settings.group = comma == std::string::npos ? "" : text.substr(comma + 1);
    for (const std::string &address : {settings.listen, settings.target}) {
        const auto endpoint = endpointOf(address);
        if (!endpoint.ok()) {
            return endpoint.status();
        }
    }
    return settings;
}

RelayLink::RelayLink(WorkerPool &workers, LinkSettings settings)
    : m_workers(workers)
    , m_settings(std::move(settings))
    , m_acceptor(workers.context())
{
}

absl::Status RelayLink::listen()
{
    const auto endpoint = endpointOf(m_settings.listen);
    const auto target = endpointOf(m_settings.target);
    if (!endpoint.ok() || !target.ok()) {
        return endpoint.ok() ? target.status() : endpoint.status();
    }
    m_target = *target;
    boost::system::error_code ec;
    m_acceptor.open(endpoint->protocol(), ec);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    m_acceptor.bind(*endpoint, ec);
    if (!ec) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return makeFailure(FailureCode::InvalidSettings, "can't listen at " + m_settings.listen);
    }
    asio::co_spawn(m_workers.context(), accept(), asio::detached);
    return absl::OkStatus();
}

std::string RelayLink::address() const
{
    const tcp::endpoint endpoint = m_acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

const LinkSettings &RelayLink::settings() const
{
    return m_settings;
}

int RelayLink::apply(const FaultOrder &order)
{
    m_order = order;
    int n = 0;
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        if (connection && connection->isOpen() && connection->isFrom(order.from)) {
            connection->swallow(order.swallow);
            strike(*connection);
            ++n;
        }
    }
    return n;
}

void RelayLink::strike(RelayConnection &connection) const
{
    connection.setDelay(m_order.faults.delay);
    if (m_order.faults.isCut) {
        connection.reset();
    }
}

int RelayLink::openConnections() const
{
    return static_cast<int>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &weak) {
        const auto connection = weak.lock();
        return connection && connection->isOpen();
    }));
}

asio::awaitable<void> RelayLink::accept()
{
    for (;;) {
        boost::system::error_code ec;
        tcp::socket client = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            continue;
        }
        std::erase_if(m_connections, [](const auto &weak) {
            return weak.expired();
        });
        const auto connection = std::make_shared<RelayConnection>(std::move(client));
        m_connections.push_back(connection);
        if (connection->isFrom(m_order.from)) {
            strike(*connection);
            connection->swallow(m_order.faults.isSwallowingNew ? Swallow::Both : Swallow::Nothing);
        }
        if (!connection->isOpen()) {
            continue;
        }
        asio::co_spawn(m_workers.context(), connection->run(m_target), [connection](std::exception_ptr) {});
    }
}

}
