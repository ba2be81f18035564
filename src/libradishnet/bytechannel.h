#pragma once

#include "tlscontext.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <optional>

namespace RadishSwitch
{

/// The bytes of one connection: TCP, and TLS over it where the fleet has certificates. Used on one strand, where its
/// handlers come too.
class ByteChannel
{
public:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

    enum class Side {
        Client,
        Server,
    };

    /// `tls` is null for plain TCP.
    ByteChannel(const Strand &strand, std::shared_ptr<TlsContext> tls, Side side);

    Socket &socket();

    /// Sets the connected socket up for many small messages.
    void configure();

    bool isEncrypted() const;

    /// Only where the channel is encrypted.
    template<typename Handler>
    void asyncHandshake(Handler handler)
    {
        m_stream->async_handshake(m_role, std::move(handler));
    }

    template<typename Handler>
    void asyncRead(boost::asio::mutable_buffer buf, Handler handler)
    {
        if (m_stream) {
            m_stream->async_read_some(buf, std::move(handler));
        } else {
            m_socket.async_read_some(buf, std::move(handler));
        }
    }

    template<typename Handler>
    void asyncWrite(boost::asio::const_buffer buf, Handler handler)
    {
        if (m_stream) {
            boost::asio::async_write(*m_stream, buf, std::move(handler));
        } else {
            boost::asio::async_write(m_socket, buf, std::move(handler));
        }
    }

    /// Writes what can be written without waiting, and returns how much: nothing where the channel is encrypted.
    std::size_t writeNow(boost::asio::const_buffer buf, boost::system::error_code &ec);

    /// Whether bytes have come that were not read yet.
    bool hasUnreadInput() const;

    void close();

private:
    using Stream = boost::asio::ssl::stream<Socket &>;

    const std::shared_ptr<TlsContext> m_tls;
    const Stream::handshake_type m_role;
    Socket m_socket;
    std::optional<Stream> m_stream;
};

}
