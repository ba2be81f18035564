#pragma once

#include "base/timerservice.h"
#include "httpmessages.h"
#include "workerpool.h"

#include <utility>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>

namespace RadishSwitch
{

/// How a connection finds out that the other side is gone without a word: a cut network, a machine without power, or
/// something between the two ends that has lost track of the connection. Zero leaves the system's defaults, which take
/// many minutes.
struct SilenceLimits {
    /// Bytes that the other side has not acknowledged for so long end the connection.
    Duration unacknowledged{};
    /// Of a request whose bytes are not acknowledged for so long the connection is reset, which drops them. What the
    /// kernel gives up by itself may still arrive when a cut of the network heals.
    Duration heldUpRequest{};
    /// On a connection without traffic the other side is probed after so long, again after as long each time, and given
    /// up when `unacknowledged` has passed.
    Duration probeInterval{};

    bool operator==(const SilenceLimits &) const = default;
};

/// An answer that is read as it comes.
class HttpResponseStream
{
public:
    virtual ~HttpResponseStream() = default;

    virtual int status() const = 0;
    virtual const HttpHeaders &headers() const = 0;

    /// The next bytes of the body as soon as there are any; empty at the end. ConnectionLost when it is cut short,
    /// ConnectionSilent when nothing came within `timeout`.
    virtual boost::asio::awaitable<absl::StatusOr<std::string>> read(Duration timeout) = 0;

    /// Closes the connection. Safe on any thread; a pending `read` fails.
    virtual void cancel() = 0;
};

/// Gives up an `open` whose answer's head has not come. Safe on any thread.
class HttpCancellation
{
public:
    /// Closes the connection on which the answer is awaited; nothing is sent on another one after that.
    void cancel();
    bool isCancelled() const;

private:
    friend class HttpClient;

    void setClose(std::function<void()> close);

    mutable std::mutex m_mutex;
    std::function<void()> m_close;
    bool m_isCancelled = false;
};

/// HTTP/1.1 client by Beast that keeps connections for reuse. A failure before any byte of the request was written
/// has the outcome "not run"; any later one is marked with an unknown outcome.
class HttpClient
{
public:
    /// Shorter than the idle timeout of the servers, so that the client is first to let go.
    static constexpr Duration kIdleTimeout = std::chrono::seconds(20);

    explicit HttpClient(WorkerPool &workers, Duration connectTimeout = std::chrono::seconds(1),
                        SilenceLimits silenceLimits = {}, Duration idleTimeout = kIdleTimeout);
    ~HttpClient();

    /// Asks "address:port" and reads the whole answer. A body of which bytes go on arriving may take `bodyTimeout`
    /// more, with no pause in it longer than `timeout`. MessageTooLarge when it is longer than `maximumBodyBytes`.
    boost::asio::awaitable<absl::StatusOr<HttpResponse>>
    fetch(std::string address, HttpRequest request, Duration timeout, Duration bodyTimeout = Duration::zero(),
          std::size_t maximumBodyBytes = std::numeric_limits<std::size_t>::max());

    /// Asks and returns as soon as the answer's head is there. ConnectionLost when it is cancelled before that;
    /// ConnectionSilent with the outcome "not run" when no connection stands within `reachTimeout`.
    boost::asio::awaitable<absl::StatusOr<std::shared_ptr<HttpResponseStream>>>
    open(std::string address, HttpRequest request, Duration timeout,
         std::shared_ptr<HttpCancellation> cancellation = nullptr, Duration reachTimeout = Duration::max());

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
