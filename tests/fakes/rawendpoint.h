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

/// What becomes of the connection behind an answer.
enum class RawEnd {
    /// It waits for the next request.
    KeepOpen,
    /// Both ways end in order.
    Close,
    /// It is closed with what is left of the request unread, at which the kernel resets it.
    CloseUnread,
    Reset,
};

/// How much of a request is read before it is answered. What is left is read behind the answer, unless the connection
/// ends without that.
enum class RawRead {
    All,
    Head,
    /// The head, and about half of the body.
    Half,
};

/// The bytes with which an endpoint answers a request.
struct RawAnswer {
    /// Sent once, first.
    std::string beginning;
    /// Sent again and again until the other side closes; empty for none.
    std::string repeated;
    /// Pause after each repetition.
    std::chrono::milliseconds pause{};
    RawRead read = RawRead::All;
    /// How long the endpoint works before it answers.
    std::chrono::milliseconds work{};
    RawEnd end = RawEnd::KeepOpen;
    /// Between the answer and the end.
    std::chrono::milliseconds pauseBeforeEnd{};
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
    /// Whether the connection may have another request.
    bool serveOne(Socket &socket, std::string &buf);
    bool answer(Socket &socket, const RawAnswer &answer);
    static bool end(Socket &socket, const RawAnswer &answer);

    const Answers m_answers;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_endlessAnswers{0};
    std::vector<std::shared_ptr<Socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

}
