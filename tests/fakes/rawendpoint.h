#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace RadishSwitch
{

/// The bytes with which an endpoint answers a request.
struct RawAnswer {
    /// Sent once, first.
    std::string beginning;
    /// Sent again and again until the other side closes; empty for none.
    std::string repeated;
    /// Pause after each repetition.
    std::chrono::milliseconds pause{};
};

/// An endpoint that answers with bytes as they are, which an HTTP server would not write. Each connection has a thread.
class RawEndpoint
{
public:
    /// Gives the answer to a request's head.
    using Answers = std::function<RawAnswer(const std::string &head)>;

    explicit RawEndpoint(Answers answers);
    ~RawEndpoint();

    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    std::uint16_t port() const;

    /// Connections on which bytes are being sent without end.
    int endlessAnswers() const
    {
        return m_endlessAnswers;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept();
    void serve(const std::shared_ptr<Socket> &socket);
    bool answer(Socket &socket, const RawAnswer &answer);

    const Answers m_answers;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_endlessAnswers{0};
    std::vector<std::shared_ptr<Socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

}
