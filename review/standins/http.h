#pragma once

// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void pause(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

/// An IP number and a port.
struct Address {
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }

    sockaddr_in socketAddress() const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }
};

/// A listening socket, or -1.
inline int listenAt(const Address &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = address.socketAddress();
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 || ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool waitFor(int fd, short events, int timeoutMs)
{
    pollfd it{fd, events, 0};
    return ::poll(&it, 1, std::max(timeoutMs, 0)) > 0;
}

/// A connected socket, or -1.
inline int connectTo(const Address &address, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = address.socketAddress();
    int error = 0;
    socklen_t length = sizeof error;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
        && (errno != EINPROGRESS || !waitFor(fd, POLLOUT, timeoutMs)
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/// Sends everything; false when the other side is gone.
inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
        } else if (!(n < 0 && (errno == EAGAIN || errno == EINTR) && waitFor(fd, POLLOUT, 5000))) {
            return false;
        }
    }
    return true;
}

struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(lower(name));
        return it == headers.end() ? std::string() : it->second;
    }

    bool has(const std::string &name) const
    {
        return headers.contains(lower(name));
    }

    /// The second word of the start line: the target of a request, the status of an answer.
    std::string secondWord() const
    {
        const std::size_t begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }

    std::string method() const
    {
        return startLine.substr(0, startLine.find(' '));
    }
};

/// Reads messages from a socket. A read ends when nothing has come for `silenceMs`.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    bool readHead(Message &message, int silenceMs)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(silenceMs)) {
                return false;
            }
        }
        std::size_t begin = m_buffer.find("\r\n");
        message.startLine = m_buffer.substr(0, begin);
        while (begin < end) {
            const std::size_t next = m_buffer.find("\r\n", begin + 2);
            const std::string line = m_buffer.substr(begin + 2, next - begin - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                message.headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
            }
            begin = next;
        }
        m_buffer.erase(0, end + 4);
        return true;
    }

    /// The body by its length or chunks; what was read of it stays in the message if it breaks off.
    bool readBody(Message &message, int silenceMs)
    {
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            return readChunks(message, silenceMs);
        }
        const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!fill(silenceMs)) {
                message.body = m_buffer;
                return false;
            }
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

    /// How the last read that failed ended: by silence, or by the other side.
    bool wasSilent() const
    {
        return m_wasSilent;
    }

private:
    bool readChunks(Message &message, int silenceMs)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(silenceMs)) {
                    return false;
                }
            }
            const std::size_t length = std::strtoul(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + length + 2) {
                if (!fill(silenceMs)) {
                    return false;
                }
            }
            message.body += m_buffer.substr(end + 2, length);
            m_buffer.erase(0, end + 2 + length + 2);
            if (length == 0) {
                return true;
            }
        }
    }

    bool fill(int silenceMs)
    {
        m_wasSilent = !waitFor(m_fd, POLLIN, silenceMs);
        if (m_wasSilent) {
            return false;
        }
        char buf[16384];
        const ssize_t n = ::recv(m_fd, buf, sizeof buf, 0);
        if (n <= 0) {
            return false;
        }
        m_buffer.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    const int m_fd;
    std::string m_buffer;
    bool m_wasSilent = false;
};

inline std::string responseText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

}
