#include "httpclient.h"

#include "base/failure.h"
#include "httpconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <vector>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

using Clock = HttpConnection::Clock;
using ConnectionPointer = std::shared_ptr<HttpConnection>;

constexpr std::size_t kMaximumIdlePerAddress = 256;

bool hasBody(const HttpRequest &request)
{
    return request.method != "HEAD";
}

/// Safe methods ask for nothing to be done, so that a second try can do no harm.
bool isSafe(const HttpRequest &request)
{
    return request.method == "GET" || request.method == "HEAD";
}

/// Idle connections, by address.
class ConnectionPool
{
public:
    explicit ConnectionPool(Duration idleTimeout)
        : m_idleTimeout(idleTimeout)
    {
    }

    /// The idle connection that was used last, or nothing.
    ConnectionPointer take(const std::string &address)
    {
        const Clock::time_point oldest = Clock::now() - m_idleTimeout;
        const std::lock_guard lock(m_mutex);
        std::vector<ConnectionPointer> &idle = m_idle[address];
        while (!idle.empty()) {
            const ConnectionPointer connection = std::move(idle.back());
            idle.pop_back();
            if (connection->idleSince() > oldest && connection->isReusable()) {
                return connection;
            }
        }
        return nullptr;
    }

    void giveBack(ConnectionPointer connection)
    {
        const Clock::time_point now = Clock::now();
        connection->setIdleSince(now);
        const std::lock_guard lock(m_mutex);
        std::vector<ConnectionPointer> &idle = m_idle[connection->address()];
        std::erase_if(idle, [this, now](const ConnectionPointer &other) {
            return other->idleSince() + m_idleTimeout < now;
        });
        if (idle.size() < kMaximumIdlePerAddress) {
            idle.push_back(std::move(connection));
        }
    }

    // When something on the way has lost track of connections, the idle ones are as silent as the one that timed out,
    // and each would cost the next request its whole timeout. New connections work.
    void forgetAfterSilence(const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        m_idle.erase(address);
    }

private:
    const Duration m_idleTimeout;
    std::mutex m_mutex;
    std::map<std::string, std::vector<ConnectionPointer>> m_idle;
};

class ResponseStream : public HttpResponseStream
{
public:
    ResponseStream(ConnectionPointer connection, std::shared_ptr<ConnectionPool> pool)
        : m_connection(std::move(connection))
        , m_pool(std::move(pool))
        , m_status(m_connection->status())
        , m_headers(m_connection->headers())
    {
    }

    ~ResponseStream() override
    {
        if (!m_isEnded) {
            cancel();
        }
    }

    int status() const override
    {
        return m_status;
    }

    const HttpHeaders &headers() const override
    {
        return m_headers;
    }

    net::awaitable<absl::StatusOr<std::string>> read(Duration timeout) override
    {
        if (m_isEnded) {
            co_return std::string();
        }
        const ConnectionPointer connection = m_connection;
        auto data = co_await net::co_spawn(connection->strand(), connection->receiveSome(timeout), net::use_awaitable);
        if (data.ok() && data->empty()) {
            m_isEnded = true;
            if (connection->isKeptAlive()) {
                m_pool->giveBack(connection);
            }
        }
        co_return data;
    }

    void cancel() override
    {
        net::post(m_connection->strand(), [connection = m_connection] {
            connection->close();
        });
    }

private:
    const ConnectionPointer m_connection;
    const std::shared_ptr<ConnectionPool> m_pool;
    const int m_status;
    const HttpHeaders m_headers;
    bool m_isEnded = false;
};

}

class HttpClient::Private
{
public:
    Private(WorkerPool &workers, Duration connectTimeout, SilenceLimits silenceLimits, Duration idleTimeout)
        : workers(workers)
        , connectTimeout(connectTimeout)
        , silenceLimits(silenceLimits)
        , pool(std::make_shared<ConnectionPool>(idleTimeout))
    {
    }

    /// Connects where needed, sends, and reads the answer's head.
    net::awaitable<absl::Status> ask(ConnectionPointer connection, const HttpRequest &request, Clock::time_point end,
                                     const HttpCancellation *cancellation = nullptr,
                                     Clock::time_point reachEnd = Clock::time_point::max())
    {
        if (!connection->isOpen()) {
            const absl::Status status = co_await connect(connection, std::min(end, reachEnd));
            if (!status.ok()) {
                co_return status;
            }
        }
        // A cancellation from here on closes a connection that is open, and the sending or reading fails.
        if (cancellation != nullptr && cancellation->isCancelled()) {
            co_return makeFailure(FailureCode::ConnectionLost, "the request was cancelled before it was sent");
        }
        connection->expireAfter(remaining(end));
        absl::Status status = co_await connection->send(request);
        if (status.ok()) {
            status = co_await connection->receiveHead(hasBody(request));
        }
        co_return status;
    }

    // A server that is asked by many at once drops what does not fit into its queue of new connections. The kernel asks
    // again after a second, by which time a call to the store has failed; a fresh try gets through as soon as there is
    // room.
    net::awaitable<absl::Status> connect(ConnectionPointer connection, Clock::time_point end)
    {
        for (;;) {
            const absl::Status status = co_await connection->connect(std::min(connectTimeout, remaining(end)));
            if (status.ok() || failureCode(status) != FailureCode::ConnectionSilent
                || remaining(end) <= Duration::zero()) {
                co_return status;
            }
        }
    }

    net::awaitable<absl::StatusOr<HttpResponse>> askForAll(ConnectionPointer connection, const HttpRequest &request,
                                                           Clock::time_point end, Duration timeout,
                                                           Duration bodyTimeout, std::size_t maximumBodyBytes)
    {
        const absl::Status status = co_await ask(connection, request, end);
        if (!status.ok()) {
            co_return status;
        }
        const Duration silence = bodyTimeout > Duration::zero() ? timeout : Duration::zero();
        absl::StatusOr<std::string> body =
            co_await connection->receiveAll(silence, end + bodyTimeout, maximumBodyBytes);
        if (!body.ok()) {
            co_return body.status();
        }
        connection->clearDeadline();
        co_return HttpResponse{connection->status(), connection->headers(), std::move(*body)};
    }

    ConnectionPointer connectionTo(const std::string &address)
    {
        ConnectionPointer connection = pool->take(address);
        return connection ? connection : std::make_shared<HttpConnection>(workers, address, silenceLimits);
    }

    // The other side may close an idle connection at the moment at which a request goes out on it. To the caller that
    // would look like a lost request, on a server in good health. A request that may be sent again, because it asks
    // for nothing to be done or because no byte of it went out, gets another connection; the idle ones are used up by
    // that, so it ends with a fresh one, whose failure counts.
    static bool canAskAgain(const HttpConnection &connection, const HttpRequest &request, const absl::Status &status)
    {
        const bool wasClosedWhileIdle =
            connection.wasIdle() && !connection.hasHeard() && failureCode(status) == FailureCode::ConnectionLost;
        return wasClosedWhileIdle && (isSafe(request) || outcomeOf(status) == RunOutcome::NotRun);
    }

    void noteSilence(const std::string &address, const absl::Status &status)
    {
        if (!status.ok() && failureCode(status) == FailureCode::ConnectionSilent) {
            pool->forgetAfterSilence(address);
        }
    }

    static Duration remaining(Clock::time_point end)
    {
        return std::chrono::duration_cast<Duration>(end - Clock::now());
    }

    WorkerPool &workers;
    const Duration connectTimeout;
    const SilenceLimits silenceLimits;
    const std::shared_ptr<ConnectionPool> pool;
};

HttpClient::HttpClient(WorkerPool &workers, Duration connectTimeout, SilenceLimits silenceLimits, Duration idleTimeout)
    : d(std::make_shared<Private>(workers, connectTimeout, silenceLimits, idleTimeout))
{
}

HttpClient::~HttpClient() = default;

net::awaitable<absl::StatusOr<HttpResponse>> HttpClient::fetch(std::string address, HttpRequest request,
                                                               Duration timeout, Duration bodyTimeout,
                                                               std::size_t maximumBodyBytes)
{
    const auto self = d;
    const Clock::time_point end = Clock::now() + timeout;
    for (;;) {
        const ConnectionPointer connection = self->connectionTo(address);
        auto response = co_await net::co_spawn(
            connection->strand(), self->askForAll(connection, request, end, timeout, bodyTimeout, maximumBodyBytes),
            net::use_awaitable);
        if (response.ok() && connection->isKeptAlive()) {
            self->pool->giveBack(connection);
        }
        self->noteSilence(address, response.status());
        if (response.ok() || !Private::canAskAgain(*connection, request, response.status())) {
            co_return response;
        }
    }
}

net::awaitable<absl::StatusOr<std::shared_ptr<HttpResponseStream>>>
HttpClient::open(std::string address, HttpRequest request, Duration timeout,
                 std::shared_ptr<HttpCancellation> cancellation, Duration reachTimeout)
{
    const auto self = d;
    const Clock::time_point begin = Clock::now();
    const Clock::time_point end = begin + timeout;
    const Clock::time_point reachEnd = begin + std::min(timeout, reachTimeout);
    if (!cancellation) {
        cancellation = std::make_shared<HttpCancellation>();
    }
    for (;;) {
        const ConnectionPointer connection = self->connectionTo(address);
        cancellation->setClose([connection] {
            net::post(connection->strand(), [connection] {
                connection->close();
            });
        });
        const absl::Status status = co_await net::co_spawn(
            connection->strand(), self->ask(connection, request, end, cancellation.get(), reachEnd),
            net::use_awaitable);
        cancellation->setClose({});
        self->noteSilence(address, status);
        if (status.ok()) {
            co_return std::make_shared<ResponseStream>(connection, self->pool);
        }
        if (cancellation->isCancelled() || !Private::canAskAgain(*connection, request, status)) {
            co_return status;
        }
    }
}

void HttpCancellation::cancel()
{
    std::function<void()> close;
    {
        const std::lock_guard lock(m_mutex);
        m_isCancelled = true;
        close = m_close;
    }
    if (close) {
        close();
    }
}

bool HttpCancellation::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_isCancelled;
}

void HttpCancellation::setClose(std::function<void()> close)
{
    const std::lock_guard lock(m_mutex);
    m_close = std::move(close);
}

}
