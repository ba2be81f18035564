#pragma once

#include "relayconnection.h"
#include "relayfaults.h"
#include "workerpool.h"

#include <utility>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// A way through the relay: LISTEN=TARGET[,GROUP].
struct LinkSettings {
    std::string listen;
    std::string target;
    std::string group;

    bool operator==(const LinkSettings &) const = default;
};

/// InvalidSettings when the text is no link.
absl::StatusOr<LinkSettings> linkSettingsOfFlag(const std::string &text);

/// Listens at one address and carries each connection to one target. All members are used on the relay's one thread.
class RelayLink
{
public:
    RelayLink(WorkerPool &workers, LinkSettings settings);

    /// Binds and accepts. InvalidSettings when it can't be bound.
    absl::Status listen();

    /// Where it listens, with the port that it got.
    std::string address() const;

    const LinkSettings &settings() const;
    /// Gives how many open connections the order struck.
    int apply(const FaultOrder &order);
    int openConnections() const;

private:
    boost::asio::awaitable<void> accept();
    void strike(RelayConnection &connection) const;

    WorkerPool &m_workers;
    LinkSettings m_settings;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    /// The last order; new connections meet its faults.
    FaultOrder m_order;
    std::vector<std::weak_ptr<RelayConnection>> m_connections;
};

}
