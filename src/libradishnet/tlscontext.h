#pragma once

#include <utility>

#include <absl/status/statusor.h>
#include <boost/asio/ssl/context.hpp>

#include <memory>

namespace RadishSwitch
{

struct TransportSettings;

/// The certificates by which the processes of a fleet know one another. Both sides of a connection show theirs, signed
/// by the fleet's own authority; addresses are not checked against them, since any instance may come back under any.
class TlsContext
{
public:
    /// Reads the files that the settings name; null when they name none. InvalidSettings when some are missing or
    /// can't be used.
    static absl::StatusOr<std::shared_ptr<TlsContext>> load(const TransportSettings &settings);

    boost::asio::ssl::context &forServer();
    boost::asio::ssl::context &forClient();

private:
    TlsContext();

    boost::asio::ssl::context m_server;
    boost::asio::ssl::context m_client;
};

}
