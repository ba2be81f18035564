#pragma once

#include "relayfaults.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// One connection through the relay. All members are used on the relay's one thread.
class RelayConnection : public std::enable_shared_from_this<RelayConnection>
{
public:
    explicit RelayConnection(boost::asio::ip::tcp::socket client);

    /// Connects to the target and carries bytes both ways until the end.
    boost::asio::awaitable<void> run(boost::asio::ip::tcp::endpoint target);

    /// From now on drops the bytes and the end of a direction. Neither side is told.
    void swallow(Swallow swallow);

    /// Time that bytes take from now on, each way.
    void setDelay(Duration delay);

    /// Resets both sides.
    void reset();

    bool isOpen() const;

    /// Whether the client's IP number begins with this.
    bool isFrom(const std::string &prefix) const;

private:
    using Clock = boost::asio::steady_timer::clock_type;
    using Socket = boost::asio::ip::tcp::socket;

    /// Bytes on their way; no bytes stand for the end.
    struct Piece {
        Clock::time_point due;
        std::string data;
    };

    struct Direction {
        Direction(Socket &source, Socket &sink);

        Socket &source;
        Socket &sink;
        std::deque<Piece> pieces;
        std::size_t queuedBytes = 0;
        /// Cancelled whenever `pieces` changed.
        boost::asio::steady_timer changed;
        bool isSwallowed = false;
    };

    boost::asio::awaitable<void> readAll(Direction &direction);
    boost::asio::awaitable<void> writeAll(Direction &direction);
    static boost::asio::awaitable<void> waitForChange(Direction &direction);
    void spawn(boost::asio::awaitable<void> work);

    Socket m_client;
    Socket m_target;
    std::string m_clientAddress;
    Duration m_delay = Duration::zero();
    Direction m_toTarget;
    Direction m_fromTarget;
};

}
