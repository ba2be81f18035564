#include "http2connection.h"

#include "base/failure.h"

#include <absl/container/flat_hash_set.h>
#include <boost/asio/post.hpp>

namespace RadishSwitch
{

namespace
{

using boost::system::error_code;
using boost::asio::ip::tcp;

/// How long no connection is accepted after accepting failed, as when the process has no file descriptors left.
constexpr std::chrono::milliseconds kAcceptPause(50);

}

class Http2MessageServer::Private : public std::enable_shared_from_this<Http2MessageServer::Private>
{
public:
    using Strand = Http2Connection::Strand;
    using ConnectionPointer = std::shared_ptr<Http2Connection>;

    Private(WorkerPool &workers, TransportSettings settings)
        : m_workers(workers)
        , m_settings(std::move(settings))
        , m_strand(workers.context().get_executor())
        , m_acceptor(m_strand)
        , m_timer(m_strand)
    {
    }

    void handle(const std::string &path, Handler handler)
    {
        m_handlers[path] = std::move(handler);
    }

    absl::Status listen(const std::string &address, std::uint16_t port)
    {
        absl::StatusOr<std::shared_ptr<TlsContext>> tls = TlsContext::load(m_settings);
        if (!tls.ok()) {
            return tls.status();
        }
        m_tls = *std::move(tls);
        error_code ec;
        const tcp::endpoint endpoint(boost::asio::ip::make_address(address, ec), port);
        if (!ec) {
            bind(endpoint, ec);
        }
        if (ec) {
            return makeFailure(FailureCode::InvalidSettings, "can't listen on " + address + ": " + ec.message());
        }
        m_port = m_acceptor.local_endpoint().port();
        boost::asio::post(m_strand, [self = shared_from_this()] {
            self->accept();
        });
        return absl::OkStatus();
    }

    std::uint16_t port() const
    {
        return m_port;
    }

    void close()
    {
        boost::asio::post(m_strand, [self = shared_from_this()] {
            self->m_isClosed = true;
            error_code ec;
            self->m_acceptor.close(ec);
            self->m_timer.cancel();
        });
        absl::flat_hash_set<ConnectionPointer> connections;
        {
            const std::lock_guard lock(m_mutex);
            m_takesConnections = false;
            connections.swap(m_connections);
        }
        for (const ConnectionPointer &connection : connections) {
            connection->close();
        }
    }

private:
    using Acceptor = boost::asio::basic_socket_acceptor<tcp, Strand>;

    void bind(const tcp::endpoint &endpoint, error_code &ec)
    {
        m_acceptor.open(endpoint.protocol(), ec);
        if (!ec) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        }
        if (!ec) {
            m_acceptor.bind(endpoint, ec);
        }
        if (!ec) {
            m_acceptor.listen(tcp::acceptor::max_listen_connections, ec);
        }
    }

    void accept()
    {
        if (m_isClosed) {
            return;
        }
        const ConnectionPointer connection = makeConnection();
        m_acceptor.async_accept(connection->socket(), [self = shared_from_this(), connection](error_code ec) {
            if (!ec) {
                self->take(connection);
                self->accept();
            } else if (ec != boost::asio::error::operation_aborted) {
                self->acceptLater();
            }
        });
    }

    void acceptLater()
    {
        m_timer.expires_after(kAcceptPause);
        m_timer.async_wait([self = shared_from_this()](error_code) {
            self->accept();
        });
    }

    ConnectionPointer makeConnection()
    {
        const auto onClosed = [weak = weak_from_this()](Http2Connection &connection) {
            if (const std::shared_ptr<Private> self = weak.lock()) {
                self->forget(connection.shared_from_this());
            }
        };
        return std::make_shared<Http2Connection>(m_workers, m_settings, m_tls, Http2Connection::Side::Server, onClosed);
    }

    void take(const ConnectionPointer &connection)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_takesConnections) {
                return;
            }
            m_connections.insert(connection);
        }
        connection->accept([self = shared_from_this()](const std::string &path) {
            return self->handler(path);
        });
    }

    void forget(const ConnectionPointer &connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
    }

    const Handler *handler(const std::string &path) const
    {
        const auto it = m_handlers.find(path);
        return it == m_handlers.end() ? nullptr : &it->second;
    }

    WorkerPool &m_workers;
    const TransportSettings m_settings;
    /// Written before `listen`, read by all connections after it.
    std::map<std::string, Handler> m_handlers;
    std::shared_ptr<TlsContext> m_tls;
    std::uint16_t m_port = 0;

    Strand m_strand;
    Acceptor m_acceptor;
    Http2Connection::Timer m_timer;
    bool m_isClosed = false;

    /// Guards what follows. No other lock is taken under it.
    std::mutex m_mutex;
    absl::flat_hash_set<ConnectionPointer> m_connections;
    bool m_takesConnections = true;
};

Http2MessageServer::Http2MessageServer(WorkerPool &workers, TransportSettings settings)
    : d(std::make_shared<Private>(workers, std::move(settings)))
{
}

Http2MessageServer::~Http2MessageServer()
{
    close();
}

void Http2MessageServer::handle(const std::string &path, Handler handler)
{
    d->handle(path, std::move(handler));
}

absl::Status Http2MessageServer::listen(const std::string &address, std::uint16_t port)
{
    return d->listen(address, port);
}

std::uint16_t Http2MessageServer::port() const
{
    return d->port();
}

void Http2MessageServer::close()
{
    d->close();
}

}
