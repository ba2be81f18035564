#include "rawendpoint.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/match.h>

#include <sys/socket.h>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

constexpr char kHeadEnd[] = "\r\n\r\n";

/// The length of the body that a head announces; zero if it announces none.
std::size_t bodyLength(const std::string &head)
{
    constexpr std::string_view kField = "content-length: ";
    for (std::size_t n = head.find('\n'); n != std::string::npos; n = head.find('\n', n + 1)) {
        const std::string_view line = std::string_view(head).substr(n + 1);
        if (absl::StartsWithIgnoreCase(absl::string_view(line.data(), line.size()),
                                       absl::string_view(kField.data(), kField.size()))) {
            return std::stoul(std::string(line.substr(kField.size())));
        }
    }
    return 0;
}

}

RawEndpoint::RawEndpoint(Answers answers)
    : m_answers(std::move(answers))
    , m_acceptor(m_context, {net::ip::address_v4::loopback(), 0})
    , m_acceptThread([this] {
        accept();
    })
{
}

RawEndpoint::~RawEndpoint()
{
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_acceptThread.join();
    for (const auto &it : m_sockets) {
        ::shutdown(it->native_handle(), SHUT_RDWR);
    }
    for (std::thread &it : m_threads) {
        it.join();
    }
}

std::uint16_t RawEndpoint::port() const
{
    return m_acceptor.local_endpoint().port();
}

void RawEndpoint::accept()
{
    boost::system::error_code ec;
    while (!ec) {
        const auto socket = std::make_shared<Socket>(m_context);
        m_acceptor.accept(*socket, ec);
        if (!ec) {
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket] {
                serve(socket);
            });
        }
    }
}

void RawEndpoint::serve(const std::shared_ptr<Socket> &socket)
{
    std::string buf;
    while (serveOne(*socket, buf)) { }
    ::shutdown(socket->native_handle(), SHUT_RDWR);
}

bool RawEndpoint::serveOne(Socket &socket, std::string &buf)
{
    boost::system::error_code ec;
    const std::size_t size = net::read_until(socket, net::dynamic_buffer(buf), kHeadEnd, ec);
    if (ec) {
        return false;
    }
    const std::string head = buf.substr(0, size);
    buf.erase(0, size);
    std::size_t left = bodyLength(head);
    const auto read = [&](std::size_t n) {
        std::string body(n, '\0');
        const std::size_t buffered = buf.copy(body.data(), n);
        buf.erase(0, buffered);
        left -= n;
        net::read(socket, net::buffer(body.data() + buffered, n - buffered), ec);
    };
    const RawAnswer given = m_answers(head);
    if (given.read != RawRead::Head) {
        read(given.read == RawRead::Half ? left / 2 : left);
    }
    std::this_thread::sleep_for(given.work);
    if (ec || !answer(socket, given)) {
        return false;
    }
    if (given.end == RawEnd::KeepOpen || given.end == RawEnd::Close) {
        read(left);
    }
    return !ec && end(socket, given);
}

bool RawEndpoint::end(Socket &socket, const RawAnswer &answer)
{
    std::this_thread::sleep_for(answer.pauseBeforeEnd);
    boost::system::error_code ec;
    if (answer.end == RawEnd::Reset) {
        socket.set_option(net::socket_base::linger(true, 0), ec);
    }
    if (answer.end == RawEnd::Reset || answer.end == RawEnd::CloseUnread) {
        socket.close(ec);
    }
    return answer.end == RawEnd::KeepOpen;
}

bool RawEndpoint::answer(Socket &socket, const RawAnswer &answer)
{
    boost::system::error_code ec;
    net::write(socket, net::buffer(answer.beginning), ec);
    if (answer.repeated.empty()) {
        return !ec;
    }
    ++m_endlessAnswers;
    while (!ec) {
        net::write(socket, net::buffer(answer.repeated), ec);
        if (answer.pause > std::chrono::milliseconds::zero()) {
            std::this_thread::sleep_for(answer.pause);
        }
    }
    --m_endlessAnswers;
    return false;
}

}
