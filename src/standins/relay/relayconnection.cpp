#include "relayconnection.h"

#include <absl/strings/match.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace RadishSwitch
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::size_t kMaximumQueuedBytes = 1024 * 1024;
constexpr std::chrono::hours kForEver(24);

auto into(boost::system::error_code &ec)
{
    return asio::redirect_error(asio::use_awaitable, ec);
}

void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ec;
    // Without lingering the close is a reset, which the other side sees at once.
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

}

RelayConnection::Direction::Direction(Socket &source, Socket &sink)
    : source(source)
    , sink(sink)
    , changed(source.get_executor(), kForEver)
{
}

RelayConnection::RelayConnection(Socket client)
    : m_client(std::move(client))
    , m_target(m_client.get_executor())
    , m_toTarget(m_client, m_target)
    , m_fromTarget(m_target, m_client)
{
    boost::system::error_code ec;
    m_clientAddress = m_client.remote_endpoint(ec).address().to_string();
}

asio::awaitable<void> RelayConnection::run(tcp::endpoint target)
{
    boost::system::error_code ec;
    co_await m_target.async_connect(target, into(ec));
    if (ec) {
        reset();
        co_return;
    }
    m_client.set_option(tcp::no_delay(true), ec);
    m_target.set_option(tcp::no_delay(true), ec);
    spawn(readAll(m_toTarget));
    spawn(writeAll(m_toTarget));
    spawn(readAll(m_fromTarget));
    spawn(writeAll(m_fromTarget));
}

void RelayConnection::swallow(Swallow swallow)
{
    m_toTarget.isSwallowed = m_toTarget.isSwallowed || swallow == Swallow::ToTarget || swallow == Swallow::Both;
    m_fromTarget.isSwallowed = m_fromTarget.isSwallowed || swallow == Swallow::FromTarget || swallow == Swallow::Both;
}

void RelayConnection::setDelay(Duration delay)
{
    m_delay = delay;
}

void RelayConnection::reset()
{
    resetSocket(m_client);
    resetSocket(m_target);
    for (Direction *direction : {&m_toTarget, &m_fromTarget}) {
        direction->pieces.push_back(Piece{Clock::now(), ""});
        direction->changed.cancel();
    }
}

bool RelayConnection::isOpen() const
{
    return m_client.is_open();
}

bool RelayConnection::isFrom(const std::string &prefix) const
{
    return absl::StartsWith(m_clientAddress, prefix);
}

asio::awaitable<void> RelayConnection::readAll(Direction &direction)
{
    std::array<char, kReadBytes> buf;
    for (;;) {
        boost::system::error_code ec;
        const std::size_t n = co_await direction.source.async_read_some(asio::buffer(buf), into(ec));
        if (direction.isSwallowed && !ec) {
            continue;
        }
        if (ec && ec != asio::error::eof && !direction.isSwallowed) {
            reset();
        }
        direction.pieces.push_back(Piece{Clock::now() + m_delay, std::string(buf.data(), ec ? 0 : n)});
        direction.queuedBytes += n;
        direction.changed.cancel();
        if (ec) {
            co_return;
        }
        while (direction.queuedBytes > kMaximumQueuedBytes && isOpen()) {
            co_await waitForChange(direction);
        }
    }
}

asio::awaitable<void> RelayConnection::writeAll(Direction &direction)
{
    for (;;) {
        while (direction.pieces.empty()) {
            co_await waitForChange(direction);
        }
        const Piece piece = std::move(direction.pieces.front());
        direction.pieces.pop_front();
        direction.queuedBytes -= piece.data.size();
        direction.changed.cancel();
        boost::system::error_code ec;
        asio::steady_timer timer(direction.sink.get_executor(), piece.due);
        co_await timer.async_wait(into(ec));
        if (piece.data.empty()) {
            if (!direction.isSwallowed) {
                direction.sink.shutdown(tcp::socket::shutdown_send, ec);
            }
            co_return;
        }
        if (direction.isSwallowed) {
            continue;
        }
        co_await asio::async_write(direction.sink, asio::buffer(piece.data), into(ec));
        if (ec) {
            reset();
            co_return;
        }
    }
}

asio::awaitable<void> RelayConnection::waitForChange(Direction &direction)
{
    boost::system::error_code ec;
    co_await direction.changed.async_wait(into(ec));
}

void RelayConnection::spawn(asio::awaitable<void> work)
{
    // The coroutine's end lets go of the connection.
    asio::co_spawn(m_client.get_executor(), std::move(work), [self = shared_from_this()](std::exception_ptr) {});
}

}
