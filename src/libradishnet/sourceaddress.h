#pragma once

#include <utility>

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <string>

#include <netinet/in.h>

namespace RadishSwitch
{

/// Opens a TCP socket whose connection shall come from one IP number of this instance, so that the other side, and
/// what lies between, can tell processes apart by it. An empty `source` leaves the choice to the kernel.
template<typename Socket>
boost::system::error_code openFrom(Socket &socket, const std::string &source)
{
    // The port is chosen at connect, when the target is known. Chosen at bind it must be free of connections to every
    // target, and a process with many connections would run out of ports.
    using BindAddressNoPort = boost::asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
    boost::system::error_code ec;
    if (source.empty()) {
        return ec;
    }
    const auto address = boost::asio::ip::make_address(source, ec);
    if (ec) {
        return ec;
    }
    const boost::asio::ip::tcp::endpoint endpoint(address, 0);
    socket.open(endpoint.protocol(), ec);
    if (!ec) {
        boost::system::error_code ignored;
        socket.set_option(BindAddressNoPort(true), ignored);
        socket.bind(endpoint, ec);
    }
    return ec;
}

}
