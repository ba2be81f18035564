#pragma once

#include "base/timerservice.h"
#include "httpmessages.h"
#include "limits/linktraffic.h"
#include "requestintake.h"
#include "workerpool.h"

#include <utility>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace RadishSwitch
{

/// Bounds on what a caller may send, and on how long it may take.
struct HttpServerLimits {
    std::size_t maximumHeaderBytes = 16 * 1024;
    std::size_t maximumBodyBytes = 8 * 1024 * 1024;
    /// How long a request's bytes may take to arrive, from the first that was read here. A request is not cut off
    /// before its connection would have been closed if it had stayed idle, nor while bytes of it wait for this process.
    Duration readTimeout = std::chrono::seconds(60);
    /// How long a connection may be idle between requests.
    Duration idleTimeout = std::chrono::seconds(60);

    bool operator==(const HttpServerLimits &) const = default;
};

struct HttpServerSettings {
    HttpServerLimits limits;
    /// How long a slow reader may take no byte of an answer.
    Duration writeTimeout = std::chrono::seconds(30);
    /// A connection that is idle when the server drains is closed after so long: a request that is on its way to it is
    /// still answered.
    Duration drainGrace = std::chrono::seconds(1);
    /// How long a connection that is ended here is read on after the caller's last bytes, within the read timeout.
    /// Closed with bytes unread it would be reset, and the reset can overtake the answer.
    Duration lingerTimeout = std::chrono::seconds(2);
    /// Asked about each request before its body is read; null to take them all. Outlives the server's workers.
    RequestIntake *intake = nullptr;
    /// Counts the bytes of all connections; null to count none. Outlives the server's workers.
    LinkTraffic *traffic = nullptr;
    /// PEM files; TLS is on when both are given.
    std::string certificateFile;
    std::string privateKeyFile;
};

/// One request and its answer. All members are used on the exchange's own strand, inside the handler.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;

    /// "address:port" of the other side.
    virtual const std::string &peer() const = 0;

    /// Sends a whole answer. ConnectionLost when the other side is gone.
    virtual boost::asio::awaitable<absl::Status> respond(HttpResponse response) = 0;

    /// Begins an answer of unknown length; `write` returns once the bytes are with the kernel, so a slow reader holds
    /// its writer back.
    virtual boost::asio::awaitable<absl::Status> beginStream(int status, HttpHeaders headers) = 0;
    virtual boost::asio::awaitable<absl::Status> write(std::string data) = 0;
    virtual boost::asio::awaitable<absl::Status> endStream() = 0;

    /// Ends the connection without ending the answer, so that the caller sees that it is cut short.
    virtual void abort() = 0;

    /// Called once if the other side closes its connection before the answer has ended; null takes it back. Not called
    /// once the other side has sent more, since its close would come behind that. The end of its sending side counts as
    /// a close, and the connection is closed here too: whether it would still read shows only when a write to it fails,
    /// and work for callers that have left would go on meanwhile.
    virtual void setPeerGoneCallback(std::function<void()> callback) = 0;
};

/// HTTP/1.1 with keep-alive by Beast. Requests past the limits get 413 or 431, malformed ones 400, in the API's error
/// form; the handler sees whole requests only. A handler that returns without an answer gives a 500; one that returns
/// inside a stream cuts it. The handler's own objects must outlive the workers.
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

    HttpServer(WorkerPool &workers, HttpServerSettings settings, Handler handler);
    ~HttpServer();

    /// Port 0 takes a free one. InvalidSettings when it can't be bound.
    absl::Status listen(const std::string &address, std::uint16_t port);

    /// As `listen`, but connections wait unread until `startAccepting`.
    absl::Status bind(const std::string &address, std::uint16_t port);
    /// Safe on any thread; again it does nothing.
    void startAccepting();

    std::uint16_t port() const;

    /// Holds for connections from now on. On those that are open the wider of the old and the new holds for the request
    /// that they wait for, and the time of the one that they are in: the caller may go by either. Safe on any thread.
    void setLimits(const HttpServerLimits &limits);

    /// From now on each answer ends its connection; new connections are still taken, for a balancer that has yet to
    /// notice. Safe on any thread.
    void closeAfterAnswers();

    /// From now on answers have neither a length nor chunks and end with their connections, as HTTP/1.1 allows it. For
    /// stand-ins of servers that answer so. Safe on any thread.
    void setEndsAnswersByClosing(bool endsAnswersByClosing);

    /// Takes no more connections than those that wait already, and closes each open one after the request that it is
    /// in. `onDrained` is called once on a worker when none is left.
    void drain(std::function<void()> onDrained = {});

    int openConnections() const;

    /// Requests whose handler has not returned.
    int requestsInProgress() const;

    /// Closes everything at once. Called off the workers, it returns when no connection is open or taken any more.
    void close();

    /// The same without waiting: calls back, on a worker, when no connection is open or taken any more.
    void close(std::function<void()> onClosed);

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
