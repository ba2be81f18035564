#pragma once

// Stand-in for a client, as PROTOCOL.md describes it.

#include "record.h"

#include <optional>

namespace review
{

struct Answer {
    /// 0 without a head.
    int status = 0;
    /// The whole answer has come.
    bool isComplete = false;
    /// The client gave up: nothing had come for as long as it waits.
    bool isGivenUp = false;
    std::map<std::string, std::string> headers;
    std::string body;

    bool isServed() const
    {
        return isComplete && status == 200 && headers.contains("server-signature");
    }
};

/// A connection of a client to a gateway, kept for many requests.
class ClientConnection
{
public:
    explicit ClientConnection(const Address &gateway, std::string key = "key-0")
        : m_fd(connectTo(gateway, 1000))
        , m_reader(m_fd)
        , m_key(std::move(key))
    {
    }

    ~ClientConnection()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
    }

    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    bool isOpen() const
    {
        return m_fd >= 0;
    }

    Answer ask(const std::string &method, const std::string &path, const std::string &attempt,
               const std::string &headers, int deadlineMs, int silenceMs)
    {
        Answer answer;
        Message message;
        const std::string request = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
            + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Token " + m_key + "\r\n" + headers
            + (method == "POST" ? "Content-Length: 2\r\n\r\n{}" : "\r\n");
        if (m_fd < 0 || !sendAll(m_fd, request)) {
            return answer;
        }
        if (m_reader.readHead(message, silenceMs)) {
            answer.status = std::atoi(message.secondWord().c_str());
            answer.headers = message.headers;
            answer.isComplete = m_reader.readBody(message, silenceMs);
            answer.body = message.body;
        }
        answer.isGivenUp = !answer.isComplete && m_reader.wasSilent();
        return answer;
    }

private:
    const int m_fd;
    Reader m_reader;
    const std::string m_key;
};

}
