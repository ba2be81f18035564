#pragma once

#include "base/failure.h"
#include "httperror.h"
#include "httpserver.h"
#include "log.h"
#include "watchdog.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/stream_traits.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>

namespace RadishSwitch
{

using ConnectionStrand = boost::asio::any_io_executor;
using ServerSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, ConnectionStrand>;
using ServerTlsStream = boost::asio::ssl::stream<ServerSocket>;

/// What the sessions of a server have in common.
struct HttpSessionContext {
    HttpServerLimits limits() const
    {
        const std::lock_guard lock(mutex);
        return settings.limits;
    }

    HttpServerSettings settings;
    HttpServer::Handler handler;
    std::atomic<int> requestsInProgress = 0;
    /// Whether each answer ends its connection.
    std::atomic<bool> isClosing = false;
    /// See HttpServer::setEndsAnswersByClosing.
    std::atomic<bool> endsAnswersByClosing = false;
    /// Guards the limits in the settings; the rest of them is never changed.
    mutable std::mutex mutex;
};

/// One connection of a server, whatever its stream. All members are used on the connection's strand.
class HttpSessionBase
{
public:
    virtual ~HttpSessionBase() = default;

    virtual ConnectionStrand strand() = 0;
    virtual boost::asio::awaitable<void> run() = 0;
    virtual void drain() = 0;
    virtual void close() = 0;
};

/// Serves the requests of one connection, one after the other.
template<typename Stream>
class HttpSession : public HttpSessionBase, public HttpExchange
{
public:
    HttpSession(Stream stream, std::string peer, std::shared_ptr<HttpSessionContext> context);

    ConnectionStrand strand() override;
    boost::asio::awaitable<void> run() override;
    void drain() override;
    void close() override;

    const HttpRequest &request() const override;
    const std::string &peer() const override;
    boost::asio::awaitable<absl::Status> respond(HttpResponse response) override;
    boost::asio::awaitable<absl::Status> beginStream(int status, HttpHeaders headers) override;
    boost::asio::awaitable<absl::Status> write(std::string data) override;
    boost::asio::awaitable<absl::Status> endStream() override;
    void abort() override;
    void setPeerGoneCallback(std::function<void()> callback) override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class AnswerState {
        None,
        Streaming,
        Done,
    };

    static constexpr bool kIsTls = std::is_same_v<Stream, ServerTlsStream>;
    static constexpr std::size_t kReadAtOnce = 64 * 1024;
    /// How often a deadline is put off because this process was late. A caller that has a byte unread each time, by
    /// chance or on purpose, is cut off after this many more read timeouts.
    static constexpr int kMostExtensions = 4;
    /// How often a connection asks the intake whether to close.
    static constexpr Duration kCloseQuestionInterval = std::chrono::seconds(1);

    boost::asio::awaitable<bool> handshake();
    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<boost::beast::error_code> readHeader();
    boost::asio::awaitable<boost::beast::error_code> readBody();
    /// Reads and parses until the header, or the whole request, is there.
    boost::asio::awaitable<boost::beast::error_code> readUntil(bool (Parser::*isDone)() const);
    boost::asio::awaitable<boost::beast::error_code> readSome();
    boost::asio::awaitable<std::size_t> readInto(boost::asio::mutable_buffer buf, boost::beast::error_code &ec);
    boost::asio::awaitable<std::size_t> readSocket(boost::asio::mutable_buffer buf, boost::beast::error_code &ec);
    boost::beast::error_code parse();
    void endReading();
    /// Whether the intake asks for the end of the connection. Never with bytes of a next request at hand.
    bool isClosedByIntake();
    bool isRefusedUnread();
    void takeHead();
    /// Tells the intake what is missing of a body that won't come.
    void noteCutOff();
    void noteRead(std::size_t n, bool isBody);
    void noteWritten(std::size_t n);
    boost::asio::awaitable<void> refuseUnread();
    boost::asio::awaitable<boost::beast::error_code> sendContinue();
    boost::asio::awaitable<void> refuse(boost::beast::error_code ec);
    boost::asio::awaitable<void> callHandler();
    boost::asio::awaitable<void> shutDown();
    boost::asio::awaitable<void> discardRest();
    /// Writes a whole answer; each step that takes bytes has the write timeout to itself.
    template<typename Body>
    boost::asio::awaitable<boost::beast::error_code> writeMessage(boost::beast::http::response<Body> &message);
    template<typename Body>
    void prepare(boost::beast::http::response<Body> &message, int status, const HttpHeaders &headers);
    void takeRequest();
    void expire();
    /// What is left of the time of the request or of the idle connection, or of reading on after the last answer.
    Duration timeLeft() const;
    Duration lingerLeft(std::chrono::steady_clock::time_point now) const;
    /// The wider of the limits under which the connection began to wait and those in force.
    HttpServerLimits widerLimits() const;
    void beginRequest();
    /// Whether the deadline passed with bytes of the caller that this process had not read.
    bool wasLate() const;
    std::size_t unread() const;
    void logUnanswered();
    bool isBetweenRequests() const;
    /// Writes what the kernel takes without waiting, and gives how much that was.
    std::size_t writeAtOnce(const std::string &bytes, boost::beast::error_code &ec);
    void watchPeer();
    void lookAtPeer();
    absl::Status outcomeOfWrite(boost::beast::error_code ec);

    Stream m_stream;
    const std::string m_peer;
    const std::shared_ptr<HttpSessionContext> m_context;
    Watchdog m_watchdog;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    HttpRequest m_request;
    /// Whether `m_request` has the head of the request that is being read.
    bool m_hasHead = false;
    unsigned m_version = 11;
    /// The answer that is being streamed is sent in chunks; otherwise the end of the connection is its end.
    bool m_isChunked = false;
    std::function<void()> m_onPeerGone;
    std::chrono::steady_clock::time_point m_idleSince;
    /// Those in force then.
    HttpServerLimits m_limits;
    /// When the request's first byte was read.
    std::optional<std::chrono::steady_clock::time_point> m_begunAt;
    std::chrono::steady_clock::time_point m_lastRead;
    /// When the intake was last asked whether to close the connection.
    std::optional<std::chrono::steady_clock::time_point> m_closeAskedAt;
    /// Since when the connection is read on after the last answer.
    std::optional<std::chrono::steady_clock::time_point> m_lingerSince;
    bool m_isWatchingPeer = false;
    AnswerState m_answer = AnswerState::None;
    bool m_isReading = false;
    bool m_isKeptAlive = false;
    bool m_isDraining = false;
    int m_extensionsLeft = 0;
    bool m_isClosed = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

extern template class HttpSession<ServerSocket>;
extern template class HttpSession<ServerTlsStream>;

}
