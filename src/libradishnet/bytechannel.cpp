#include "bytechannel.h"

namespace RadishSwitch
{

using boost::system::error_code;

ByteChannel::ByteChannel(const Strand &strand, std::shared_ptr<TlsContext> tls, Side side)
    : m_tls(std::move(tls))
    , m_role(side == Side::Client ? Stream::client : Stream::server)
    , m_socket(strand)
{
    if (m_tls) {
        m_stream.emplace(m_socket, side == Side::Client ? m_tls->forClient() : m_tls->forServer());
    }
}

ByteChannel::Socket &ByteChannel::socket()
{
    return m_socket;
}

void ByteChannel::configure()
{
    error_code ec;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
}

bool ByteChannel::isEncrypted() const
{
    return m_stream.has_value();
}

std::size_t ByteChannel::writeNow(boost::asio::const_buffer buf, error_code &ec)
{
    if (m_stream) {
        return 0;
    }
    const std::size_t n = m_socket.write_some(boost::asio::buffer(buf), ec);
    if (ec == boost::asio::error::would_block) {
        ec.clear();
    }
    return n;
}

bool ByteChannel::hasUnreadInput() const
{
    error_code ec;
    return m_socket.available(ec) > 0;
}

void ByteChannel::close()
{
    error_code ec;
    m_socket.close(ec);
}

}
