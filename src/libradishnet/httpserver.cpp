#include "httpserver.h"

#include "httpsession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <unordered_set>

namespace RadishSwitch
{

namespace net = boost::asio;
using net::ip::tcp;

namespace
{

const Log kLog("http");

/// Workers that were never started would never close anything.
constexpr Duration kCloseWait = std::chrono::seconds(1);
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
/// Connections taken in one go, so that the requests on those that are open get their turn too.
constexpr int kAcceptsAtOnce = 32;
/// As many as can wait when the listener is closed, unless callers go on coming as fast as they are taken.
constexpr int kMostLastAccepts = 4096;

std::string nameOf(const tcp::endpoint &endpoint)
{
    const std::string address = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + address + "]:" + port : address + ":" + port;
}

}

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(WorkerPool &workers, HttpServerSettings settings, Handler handler)
        : strand(workers.connectionExecutor())
        , acceptor(strand)
        , workers(workers)
        , context(std::make_shared<HttpSessionContext>())
    {
        context->settings = std::move(settings);
        context->handler = std::move(handler);
    }

    absl::Status openTls();
    absl::Status bind(const std::string &address, std::uint16_t wantedPort);
    net::awaitable<void> accept();
    /// Whether there may be more.
    bool acceptWaiting();
    void serve(ServerSocket socket);
    net::awaitable<void> runSession(std::shared_ptr<HttpSessionBase> session);
    void acceptLast();
    bool isClosing() const;
    /// Calls back on a worker once the listener is closed.
    void closeListener(std::function<void()> onClosed);
    void closeAll(std::function<void()> onClosed);
    void drainSessions();
    /// With the mutex held.
    void tellIfDrained();

    ConnectionStrand strand;
    net::basic_socket_acceptor<tcp, ConnectionStrand> acceptor;
    WorkerPool &workers;
    std::optional<net::ssl::context> tls;
    std::shared_ptr<HttpSessionContext> context;
    std::uint16_t port = 0;

    mutable std::mutex mutex;
    bool isListening = false;
    bool isAccepting = false;
    bool isDraining = false;
    bool isClosed = false;
    std::function<void()> onDrained;
    std::unordered_set<std::shared_ptr<HttpSessionBase>> sessions;
};

absl::Status HttpServer::Private::openTls()
{
    const HttpServerSettings &settings = context->settings;
    if (settings.certificateFile.empty() != settings.privateKeyFile.empty()) {
        return makeFailure(FailureCode::InvalidSettings, "TLS needs both a certificate and a private key");
    }
    if (settings.certificateFile.empty()) {
        return absl::OkStatus();
    }
    boost::system::error_code ec;
    tls.emplace(net::ssl::context::tls_server);
    tls->set_options(net::ssl::context::default_workarounds | net::ssl::context::no_tlsv1
                     | net::ssl::context::no_tlsv1_1);
    tls->use_certificate_chain_file(settings.certificateFile, ec);
    if (ec) {
        return makeFailure(FailureCode::InvalidSettings,
                           "the certificate " + settings.certificateFile + " can't be used: " + ec.message());
    }
    tls->use_private_key_file(settings.privateKeyFile, net::ssl::context::pem, ec);
    if (ec) {
        return makeFailure(FailureCode::InvalidSettings,
                           "the private key " + settings.privateKeyFile + " can't be used: " + ec.message());
    }
    return absl::OkStatus();
}

absl::Status HttpServer::Private::bind(const std::string &address, std::uint16_t wantedPort)
{
    const std::string name = address + ":" + std::to_string(wantedPort);
    boost::system::error_code ec;
    const net::ip::address ip = net::ip::make_address(address, ec);
    if (ec) {
        return makeFailure(FailureCode::InvalidSettings, "'" + address + "' isn't an IP number");
    }
    const tcp::endpoint endpoint(ip, wantedPort);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(net::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(net::socket_base::max_listen_connections, ec);
    }
    if (!ec) {
        acceptor.non_blocking(true, ec);
    }
    if (ec) {
        return makeFailure(FailureCode::InvalidSettings, "can't listen on " + name + ": " + ec.message());
    }
    port = acceptor.local_endpoint(ec).port();
    return absl::OkStatus();
}

net::awaitable<void> HttpServer::Private::accept()
{
    net::steady_timer pause(strand);
    while (acceptor.is_open()) {
        boost::system::error_code ec;
        ServerSocket socket =
            co_await acceptor.async_accept(workers.connectionExecutor(), net::redirect_error(net::use_awaitable, ec));
        if (!ec) {
            serve(std::move(socket));
            acceptWaiting();
            continue;
        }
        if (ec == net::error::operation_aborted) {
            co_return;
        }
        // Out of descriptors, accept fails at once and for as long as connections stay open: without a pause the
        // worker would spin here and the connections that could end would not be served.
        kLog.warning("accept failed", {field("error", ec.message())});
        pause.expires_after(kAcceptPause);
        co_await pause.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
}

// A worker that is busy comes back here once for all the requests that have become ready meanwhile. With one connection
// each time, a crowd of new callers would wait for its doors longer than the second that callers wait.
bool HttpServer::Private::acceptWaiting()
{
    boost::system::error_code ec;
    for (int n = 1; n < kAcceptsAtOnce && acceptor.is_open(); ++n) {
        ServerSocket socket(workers.connectionExecutor());
        acceptor.accept(socket, ec);
        if (ec) {
            // No more connections wait. Any other error shows again in the next asynchronous accept, which logs it.
            return false;
        }
        serve(std::move(socket));
    }
    return acceptor.is_open();
}

void HttpServer::Private::serve(ServerSocket socket)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    const tcp::endpoint remote = socket.remote_endpoint(ec);
    if (ec) {
        return;
    }
    std::shared_ptr<HttpSessionBase> session;
    if (tls) {
        session = std::make_shared<HttpSession<ServerTlsStream>>(ServerTlsStream(std::move(socket), *tls),
                                                                 nameOf(remote), context);
    } else {
        session = std::make_shared<HttpSession<ServerSocket>>(std::move(socket), nameOf(remote), context);
    }
    {
        const std::lock_guard lock(mutex);
        if (isClosed) {
            return;
        }
        if (isDraining) {
            session->drain();
        }
        sessions.insert(session);
    }
    net::co_spawn(session->strand(), runSession(session), net::detached);
}

net::awaitable<void> HttpServer::Private::runSession(std::shared_ptr<HttpSessionBase> session)
{
    const auto self = shared_from_this();
    co_await session->run();
    const std::lock_guard lock(mutex);
    sessions.erase(session);
    tellIfDrained();
}

void HttpServer::Private::tellIfDrained()
{
    if (isDraining && !isListening && sessions.empty() && onDrained) {
        workers.post(std::exchange(onDrained, nullptr));
    }
}

void HttpServer::Private::closeListener(std::function<void()> onClosed)
{
    net::post(strand, [self = shared_from_this(), onClosed = std::move(onClosed)] {
        boost::system::error_code ec;
        self->acceptLast();
        self->acceptor.close(ec);
        {
            const std::lock_guard lock(self->mutex);
            self->isListening = false;
            self->tellIfDrained();
        }
        if (onClosed) {
            onClosed();
        }
    });
}

// To its caller a connection that waits is open, with a request on it perhaps: closed with the listener, it is reset.
void HttpServer::Private::acceptLast()
{
    bool isMore = acceptor.is_open() && !isClosing();
    for (int n = 0; isMore && n < kMostLastAccepts; n += kAcceptsAtOnce) {
        isMore = acceptWaiting();
    }
}

bool HttpServer::Private::isClosing() const
{
    const std::lock_guard lock(mutex);
    return isClosed;
}

void HttpServer::Private::closeAll(std::function<void()> onClosed)
{
    const std::lock_guard lock(mutex);
    isDraining = true;
    isClosed = true;
    const auto left = std::make_shared<std::atomic<std::size_t>>(sessions.size() + 1);
    const auto countDown = [left, onClosed = std::move(onClosed)] {
        if (--*left == 0 && onClosed) {
            onClosed();
        }
    };
    closeListener(countDown);
    for (const auto &session : sessions) {
        net::post(session->strand(), [session, countDown] {
            session->close();
            countDown();
        });
    }
}

void HttpServer::Private::drainSessions()
{
    const std::lock_guard lock(mutex);
    isDraining = true;
    for (const auto &session : sessions) {
        net::post(session->strand(), [session] {
            session->drain();
        });
    }
}

HttpServer::HttpServer(WorkerPool &workers, HttpServerSettings settings, Handler handler)
    : d(std::make_shared<Private>(workers, std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    close();
}

absl::Status HttpServer::listen(const std::string &address, std::uint16_t port)
{
    const absl::Status status = bind(address, port);
    if (status.ok()) {
        startAccepting();
    }
    return status;
}

absl::Status HttpServer::bind(const std::string &address, std::uint16_t port)
{
    absl::Status status = d->openTls();
    if (status.ok()) {
        status = d->bind(address, port);
    }
    d->isListening = status.ok();
    return status;
}

void HttpServer::startAccepting()
{
    {
        const std::lock_guard lock(d->mutex);
        if (std::exchange(d->isAccepting, true) || !d->isListening) {
            return;
        }
    }
    net::co_spawn(
        d->strand,
        [self = d]() -> net::awaitable<void> {
            co_await self->accept();
        },
        net::detached);
}

std::uint16_t HttpServer::port() const
{
    return d->port;
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    const std::lock_guard lock(d->context->mutex);
    d->context->settings.limits = limits;
}

void HttpServer::closeAfterAnswers()
{
    d->context->isClosing = true;
}

void HttpServer::setEndsAnswersByClosing(bool endsAnswersByClosing)
{
    d->context->endsAnswersByClosing = endsAnswersByClosing;
}

void HttpServer::drain(std::function<void()> onDrained)
{
    {
        const std::lock_guard lock(d->mutex);
        d->onDrained = std::move(onDrained);
    }
    d->drainSessions();
    d->closeListener({});
}

int HttpServer::openConnections() const
{
    const std::lock_guard lock(d->mutex);
    return static_cast<int>(d->sessions.size());
}

int HttpServer::requestsInProgress() const
{
    return d->context->requestsInProgress;
}

void HttpServer::close()
{
    const auto closed = std::make_shared<std::promise<void>>();
    close([closed] {
        closed->set_value();
    });
    net::io_context &context = d->workers.context();
    // A request on a connection that was closed or taken in after this has returned would get no answer, and its caller
    // could not know whether it ran; refused by the system, it knows.
    if (!context.get_executor().running_in_this_thread() && !context.stopped()) {
        closed->get_future().wait_for(kCloseWait);
    }
}

void HttpServer::close(std::function<void()> onClosed)
{
    d->closeAll(std::move(onClosed));
}

}
