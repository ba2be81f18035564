#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// An IP number with a port.
class SocketAddress
{
public:
    SocketAddress() = default;
    SocketAddress(std::string ip, std::uint16_t port);

    /// The IP number without brackets.
    const std::string &ip() const;
    std::uint16_t port() const;

    /// "127.0.0.1:8080" or "[::1]:8080".
    std::string toString() const;

    auto operator<=>(const SocketAddress &) const = default;
    bool operator==(const SocketAddress &) const = default;

private:
    std::string m_ip;
    std::uint16_t m_port = 0;
};

/// Reads "ip:port", the form of `toString`. Names are not resolved. InvalidSettings when `text` is anything else.
absl::StatusOr<SocketAddress> parseSocketAddress(const std::string &text);

/// OK when `text` is an IP number; InvalidSettings otherwise.
absl::Status checkIpNumber(const std::string &text);

}
