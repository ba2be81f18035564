#include "socketaddress.h"

#include "base/failure.h"

#include <utility>

#include <absl/strings/numbers.h>
#include <boost/asio/ip/address.hpp>

#include <limits>

namespace RadishSwitch
{

namespace
{

absl::Status wrongForm(const std::string &text)
{
    return makeFailure(FailureCode::InvalidSettings,
                       "'" + text + "' isn't an IP number with a port, such as 127.0.0.1:8080 or [::1]:8080");
}

bool isBracketed(const std::string &text)
{
    return text.size() > 2 && text.front() == '[' && text.back() == ']';
}

}

SocketAddress::SocketAddress(std::string ip, std::uint16_t port)
    : m_ip(std::move(ip))
    , m_port(port)
{
}

const std::string &SocketAddress::ip() const
{
    return m_ip;
}

std::uint16_t SocketAddress::port() const
{
    return m_port;
}

std::string SocketAddress::toString() const
{
    const bool isV6 = m_ip.find(':') != std::string::npos;
    return (isV6 ? "[" + m_ip + "]" : m_ip) + ":" + std::to_string(m_port);
}

absl::StatusOr<SocketAddress> parseSocketAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return wrongForm(text);
    }
    std::string ip = text.substr(0, colon);
    const bool hadBrackets = isBracketed(ip);
    if (hadBrackets) {
        ip = ip.substr(1, ip.size() - 2);
    }
    const bool isV6 = ip.find(':') != std::string::npos;
    std::uint32_t port = 0;
    if (isV6 != hadBrackets || !checkIpNumber(ip).ok() || !absl::SimpleAtoi(text.substr(colon + 1), &port)
        || port > std::numeric_limits<std::uint16_t>::max()) {
        return wrongForm(text);
    }
    return SocketAddress(std::move(ip), static_cast<std::uint16_t>(port));
}

absl::Status checkIpNumber(const std::string &text)
{
    boost::system::error_code ec;
    boost::asio::ip::make_address(text, ec);
    if (ec) {
        return makeFailure(FailureCode::InvalidSettings, "'" + text + "' isn't an IP number, such as 127.0.0.1");
    }
    return absl::OkStatus();
}

}
