#include "httpsession.h"

#include <sys/socket.h>

#include <algorithm>

namespace RadishSwitch
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

using Clock = std::chrono::steady_clock;

const Log kLog("http");

/// Beast's number for HTTP/1.1.
constexpr unsigned kVersionWithChunks = 11;

auto awaitInto(beast::error_code &ec)
{
    return net::redirect_error(net::use_awaitable, ec);
}

HttpHeaders headersOf(const http::fields &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields) {
        headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

absl::Status failureOfParse(beast::error_code ec)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return makeFailure(FailureCode::HeaderTooLarge, "the header is larger than is taken here");
    }
    if (ec == http::error::body_limit) {
        return makeFailure(FailureCode::BodyTooLarge, "the body is larger than is taken here");
    }
    return makeFailure(FailureCode::InvalidRequest, "the request is not HTTP/1.1: " + ec.message());
}

bool isMalformed(beast::error_code ec)
{
    return ec.category() == http::make_error_code(http::error::bad_method).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

std::string chunkOf(const std::string &data)
{
    const auto chunk = http::make_chunk(net::buffer(data));
    std::string bytes(net::buffer_size(chunk), '\0');
    net::buffer_copy(net::buffer(bytes), chunk);
    return bytes;
}

/// Counts a request in progress for as long as it stands.
class ProgressGuard
{
public:
    explicit ProgressGuard(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }

    ~ProgressGuard()
    {
        --m_count;
    }

    ProgressGuard(const ProgressGuard &) = delete;
    ProgressGuard &operator=(const ProgressGuard &) = delete;

private:
    std::atomic<int> &m_count;
};

}

template<typename Stream>
HttpSession<Stream>::HttpSession(Stream stream, std::string peer, std::shared_ptr<HttpSessionContext> context)
    : m_stream(std::move(stream))
    , m_peer(std::move(peer))
    , m_context(std::move(context))
    , m_watchdog(m_stream.get_executor(), [this] {
        expire();
    })
{
}

template<typename Stream>
ConnectionStrand HttpSession<Stream>::strand()
{
    return beast::get_lowest_layer(m_stream).get_executor();
}

template<typename Stream>
net::awaitable<void> HttpSession<Stream>::run()
{
    bool isOpen = co_await handshake();
    while (isOpen) {
        isOpen = co_await serveOne();
    }
    co_await shutDown();
}

template<typename Stream>
net::awaitable<bool> HttpSession<Stream>::handshake()
{
    if constexpr (kIsTls) {
        beast::error_code ec;
        m_watchdog.expireAfter(m_context->limits().readTimeout);
        co_await m_stream.async_handshake(net::ssl::stream_base::server, awaitInto(ec));
        if (ec) {
            kLog.debug("handshake failed", {field("peer", m_peer), field("error", ec.message())});
            close();
        }
        co_return !ec;
    }
    co_return true;
}

template<typename Stream>
net::awaitable<bool> HttpSession<Stream>::serveOne()
{
    beast::error_code ec = co_await readHeader();
    if (!ec && isRefusedUnread()) {
        co_await refuseUnread();
        co_return false;
    }
    if (!ec) {
        ec = co_await readBody();
        if (ec) {
            noteCutOff();
        }
    }
    if (ec) {
        if (isMalformed(ec) && !m_isClosed) {
            co_await refuse(ec);
        }
        co_return false;
    }
    takeRequest();
    const ProgressGuard guard(m_context->requestsInProgress);
    co_await callHandler();
    co_return m_isKeptAlive && !m_isClosed;
}

template<typename Stream>
net::awaitable<beast::error_code> HttpSession<Stream>::readHeader()
{
    m_parser.emplace();
    m_hasHead = false;
    m_limits = m_context->limits();
    m_idleSince = Clock::now();
    m_begunAt.reset();
    m_watchdog.expireAfter(m_isDraining ? m_context->settings.drainGrace : m_limits.idleTimeout);
    m_extensionsLeft = kMostExtensions;
    m_isReading = true;
    const beast::error_code ec = co_await readUntil(&Parser::is_header_done);
    if (ec) {
        endReading();
    }
    co_return ec;
}

template<typename Stream>
net::awaitable<beast::error_code> HttpSession<Stream>::readBody()
{
    beast::error_code ec;
    if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        ec = co_await sendContinue();
    }
    if (!ec) {
        m_parser->eager(true);
        ec = co_await readUntil(&Parser::is_done);
    }
    endReading();
    co_return ec;
}

template<typename Stream>
void HttpSession<Stream>::endReading()
{
    m_isReading = false;
    m_extensionsLeft = 0;
    m_watchdog.clear();
}

template<typename Stream>
net::awaitable<beast::error_code> HttpSession<Stream>::readUntil(bool (Parser::*isDone)() const)
{
    beast::error_code ec;
    bool isMoreNeeded = m_buffer.size() == 0;
    while (!((*m_parser).*isDone)()) {
        if (isMoreNeeded) {
            ec = co_await readSome();
        }
        if (!ec && m_buffer.size() > 0) {
            ec = parse();
        }
        if (ec && ec != http::error::need_more) {
            co_return ec;
        }
        isMoreNeeded = m_buffer.size() == 0 || ec == http::error::need_more;
        ec = {};
    }
    co_return ec;
}

template<typename Stream>
beast::error_code HttpSession<Stream>::parse()
{
    beast::error_code ec;
    if (!m_begunAt) {
        beginRequest();
    }
    const bool isBody = m_parser->is_header_done();
    const std::size_t n = m_parser->put(m_buffer.data(), ec);
    m_buffer.consume(n);
    noteRead(n, isBody);
    return ec;
}

template<typename Stream>
void HttpSession<Stream>::beginRequest()
{
    const HttpServerLimits limits = widerLimits();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maximumHeaderBytes));
    m_parser->body_limit(limits.maximumBodyBytes);
    m_begunAt = Clock::now();
}

// A caller that is allowed less may not know it yet, and one that is allowed more may use it at once.
template<typename Stream>
HttpServerLimits HttpSession<Stream>::widerLimits() const
{
    HttpServerLimits limits = m_context->limits();
    limits.maximumHeaderBytes = std::max(limits.maximumHeaderBytes, m_limits.maximumHeaderBytes);
    limits.maximumBodyBytes = std::max(limits.maximumBodyBytes, m_limits.maximumBodyBytes);
    limits.readTimeout = std::max(limits.readTimeout, m_limits.readTimeout);
    limits.idleTimeout = std::max(limits.idleTimeout, m_limits.idleTimeout);
    return limits;
}

template<typename Stream>
net::awaitable<beast::error_code> HttpSession<Stream>::readSome()
{
    beast::error_code ec;
    // What can't be parsed yet is a head, or the size, an extension or the trailer of a chunk.
    if (m_buffer.size() > widerLimits().maximumHeaderBytes + kReadAtOnce) {
        co_return http::error::header_limit;
    }
    const net::mutable_buffer buf = m_buffer.prepare(beast::read_size(m_buffer, kReadAtOnce));
    const std::size_t n = co_await readInto(buf, ec);
    m_buffer.commit(n);
    m_lastRead = Clock::now();
    if (ec == net::error::eof) {
        ec = http::error::end_of_stream;
        if (m_parser->got_some()) {
            m_parser->put_eof(ec);
        }
    }
    if (n == buf.size()) {
        // There may be more; other connections have their turn first.
        co_await net::post(strand(), net::use_awaitable);
    }
    co_return ec;
}

// Bytes leave the kernel here only. An asynchronous read may have taken them while its completion still waits behind a
// watchdog that fires: such a caller would look as if it had sent nothing.
template<typename Stream>
net::awaitable<std::size_t> HttpSession<Stream>::readInto(net::mutable_buffer buf, beast::error_code &ec)
{
    if constexpr (kIsTls) {
        co_return co_await m_stream.async_read_some(buf, awaitInto(ec));
    } else {
        co_return co_await readSocket(buf, ec);
    }
}

template<typename Stream>
net::awaitable<std::size_t> HttpSession<Stream>::readSocket(net::mutable_buffer buf, beast::error_code &ec)
{
    ServerSocket &socket = beast::get_lowest_layer(m_stream);
    if (!socket.non_blocking()) {
        socket.non_blocking(true, ec);
    }
    std::size_t n = ec ? 0 : socket.read_some(buf, ec);
    while (ec == net::error::would_block || ec == net::error::try_again) {
        co_await socket.async_wait(net::socket_base::wait_read, awaitInto(ec));
        n = ec ? 0 : socket.read_some(buf, ec);
    }
    co_return n;
}

// Bytes are counted when they are parsed, so that the head of a request is counted before the intake is asked, and what
// was read of its body after that.
template<typename Stream>
void HttpSession<Stream>::noteRead(std::size_t n, bool isBody)
{
    LinkTraffic *traffic = m_context->settings.traffic;
    if (!traffic || n == 0) {
        return;
    }
    const bool isDeclared = isBody && m_parser->content_length();
    isDeclared ? traffic->noteDeclaredIn(static_cast<std::int64_t>(n)) : traffic->noteIn(static_cast<std::int64_t>(n));
}

template<typename Stream>
void HttpSession<Stream>::noteWritten(std::size_t n)
{
    if (LinkTraffic *traffic = m_context->settings.traffic) {
        traffic->noteOut(static_cast<std::int64_t>(n));
    }
}

template<typename Stream>
bool HttpSession<Stream>::isRefusedUnread()
{
    RequestIntake *intake = m_context->settings.intake;
    if (!intake) {
        return false;
    }
    takeHead();
    return intake->isRefusing(m_request);
}

template<typename Stream>
void HttpSession<Stream>::takeHead()
{
    const auto &message = m_parser->get();
    m_request = HttpRequest();
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    m_request.headers = headersOf(message);
    m_version = message.version();
    m_hasHead = true;
}

// A caller may send its next request before it has the answer. Closed now, the connection would leave that request
// unanswered.
template<typename Stream>
bool HttpSession<Stream>::isClosedByIntake()
{
    // The next request may already be inside the TLS stream, where it can't be seen.
    if constexpr (kIsTls) {
        return false;
    }
    RequestIntake *intake = m_context->settings.intake;
    const auto now = Clock::now();
    if (!intake || (m_closeAskedAt && now - *m_closeAskedAt < kCloseQuestionInterval)) {
        return false;
    }
    m_closeAskedAt = now;
    return intake->closesAfterAnswer() && m_buffer.size() == 0 && unread() == 0;
}

template<typename Stream>
net::awaitable<void> HttpSession<Stream>::refuseUnread()
{
    endReading();
    // What has arrived of the body won't be parsed.
    noteRead(m_buffer.size(), false);
    m_isKeptAlive = false;
    (void)co_await respond(m_context->settings.intake->refuse(m_request));
}

template<typename Stream>
void HttpSession<Stream>::noteCutOff()
{
    RequestIntake *intake = m_context->settings.intake;
    const auto unread = m_parser->content_length_remaining();
    if (intake && unread && *unread > 0) {
        intake->noteCutOff(static_cast<std::int64_t>(*unread),
                           std::chrono::duration_cast<Duration>(Clock::now() - *m_begunAt));
    }
}

template<typename Stream>
net::awaitable<beast::error_code> HttpSession<Stream>::sendContinue()
{
    beast::error_code ec;
    http::response<http::empty_body> message(http::status::continue_, 11);
    noteWritten(co_await http::async_write(m_stream, message, awaitInto(ec)));
    co_return ec;
}

template<typename Stream>
void HttpSession<Stream>::takeRequest()
{
    // A body in chunks may be followed by more fields.
    if (!m_hasHead || m_parser->chunked()) {
        takeHead();
    }
    auto message = m_parser->release();
    m_request.body = std::move(message.body());
    m_isKeptAlive = message.keep_alive();
    m_answer = AnswerState::None;
    m_parser.reset();
}

template<typename Stream>
net::awaitable<void> HttpSession<Stream>::refuse(beast::error_code ec)
{
    m_request = HttpRequest();
    m_isKeptAlive = false;
    m_answer = AnswerState::None;
    const absl::Status failure = failureOfParse(ec);
    kLog.debug("request refused", {field("peer", m_peer), field("code", failureName(failureCode(failure)))});
    (void)co_await respond(makeErrorResponse(failure));
}

template<typename Stream>
net::awaitable<void> HttpSession<Stream>::callHandler()
{
    try {
        co_await m_context->handler(*this);
    } catch (const std::exception &e) {
        kLog.error("handler threw", {field("target", m_request.target), field("error", e.what())});
    }
    if (m_answer == AnswerState::None && !m_isClosed) {
        (void)co_await respond(makeErrorResponse(
            withUnknownOutcome(makeFailure(FailureCode::Internal, "the request was left without an answer"))));
    }
    if (m_answer == AnswerState::Streaming) {
        abort();
    }
    m_onPeerGone = nullptr;
}

// A close with unread bytes of the other side makes the kernel reset the connection, and the reset can overtake the
// answer: the caller of a refused upload would see a broken connection in place of its 413. So the sending side is
// ended first, and what still comes is read and dropped for as long as the request could have taken to come.
template<typename Stream>
net::awaitable<void> HttpSession<Stream>::shutDown()
{
    if (m_isClosed) {
        co_return;
    }
    beast::error_code ec;
    m_lingerSince = m_lastRead = Clock::now();
    m_extensionsLeft = kMostExtensions;
    m_watchdog.expireAfter(m_context->settings.lingerTimeout);
    if constexpr (kIsTls) {
        co_await m_stream.async_shutdown(awaitInto(ec));
    }
    beast::get_lowest_layer(m_stream).shutdown(net::socket_base::shutdown_send, ec);
    if (!ec) {
        co_await discardRest();
    }
    close();
}

template<typename Stream>
net::awaitable<void> HttpSession<Stream>::discardRest()
{
    beast::error_code ec;
    std::array<char, 4096> discarded;
    while (!ec) {
        const std::size_t n = co_await readSocket(net::buffer(discarded), ec);
        noteRead(n, false);
        m_lastRead = Clock::now();
        if (n == discarded.size()) {
            co_await net::post(strand(), net::use_awaitable);
        }
    }
}

template<typename Stream>
void HttpSession<Stream>::drain()
{
    m_isDraining = true;
    if (isBetweenRequests()) {
        m_watchdog.expireAfter(m_context->settings.drainGrace);
    }
}

template<typename Stream>
bool HttpSession<Stream>::isBetweenRequests() const
{
    return m_isReading && !m_begunAt;
}

// The caller can't know that its connection is about to be closed, so that a request whose first byte has come gets its
// own time, and bytes that only wait for this process are read before a deadline counts.
template<typename Stream>
void HttpSession<Stream>::expire()
{
    if (const Duration left = timeLeft(); left > Duration::zero()) {
        m_watchdog.expireAfter(left);
        return;
    }
    if (m_extensionsLeft > 0 && wasLate()) {
        --m_extensionsLeft;
        m_watchdog.expireAfter(m_lingerSince ? m_context->settings.lingerTimeout : widerLimits().readTimeout);
        return;
    }
    if (m_isReading && m_begunAt) {
        logUnanswered();
    }
    close();
}

template<typename Stream>
Duration HttpSession<Stream>::timeLeft() const
{
    const HttpServerLimits limits = widerLimits();
    const auto now = Clock::now();
    if (m_lingerSince) {
        return lingerLeft(now);
    }
    if (m_isReading && m_begunAt) {
        return std::chrono::duration_cast<Duration>(*m_begunAt + limits.readTimeout - now);
    }
    if (isBetweenRequests() && !m_isDraining) {
        return std::chrono::duration_cast<Duration>(m_idleSince + limits.idleTimeout - now);
    }
    return Duration::zero();
}

template<typename Stream>
Duration HttpSession<Stream>::lingerLeft(Clock::time_point now) const
{
    const Duration linger = m_context->settings.lingerTimeout;
    const auto end = std::min(m_lastRead + linger, *m_lingerSince + std::max(linger, widerLimits().readTimeout));
    return std::chrono::duration_cast<Duration>(end - now);
}

// What is unread was sent in time, as far as this process can tell. Where it caught up just before its watchdog came,
// it has read such bytes after the deadline, and more may come now that the caller's way is free again.
template<typename Stream>
bool HttpSession<Stream>::wasLate() const
{
    return unread() > 0 || m_lastRead > Clock::now() - m_watchdog.lateness();
}

template<typename Stream>
std::size_t HttpSession<Stream>::unread() const
{
    beast::error_code ec;
    const std::size_t n = beast::get_lowest_layer(m_stream).available(ec);
    return ec ? 0 : n;
}

// For its caller this is a request without an answer, so that it has to be found by what came of it: where the rest had
// arrived unread, this process was late and not the caller.
template<typename Stream>
void HttpSession<Stream>::logUnanswered()
{
    kLog.warning("request cut off while it came",
                 {field("peer", m_peer), field("target", std::string(m_parser->get().target())),
                  field("unread", unread()), field("noticed_late", m_watchdog.lateness())});
}

template<typename Stream>
void HttpSession<Stream>::close()
{
    m_isClosed = true;
    beast::error_code ec;
    ServerSocket &socket = beast::get_lowest_layer(m_stream);
    if (m_answer == AnswerState::Streaming && m_version < kVersionWithChunks) {
        // Closed in order, the connection would end the stream as if it were whole.
        socket.set_option(net::socket_base::linger(true, 0), ec);
    }
    socket.close(ec);
}

template<typename Stream>
void HttpSession<Stream>::abort()
{
    close();
    m_answer = AnswerState::Done;
}

template<typename Stream>
void HttpSession<Stream>::setPeerGoneCallback(std::function<void()> callback)
{
    m_onPeerGone = std::move(callback);
    if (m_onPeerGone && !m_isWatchingPeer && m_buffer.size() == 0) {
        // A server that is behind reads requests whose callers have left meanwhile; their end is there already.
        lookAtPeer();
    }
}

template<typename Stream>
void HttpSession<Stream>::watchPeer()
{
    m_isWatchingPeer = true;
    beast::get_lowest_layer(m_stream).async_wait(net::socket_base::wait_read,
                                                 [this, alive = std::weak_ptr<int>(m_alive)](beast::error_code ec) {
                                                     if (alive.expired()) {
                                                         return;
                                                     }
                                                     m_isWatchingPeer = false;
                                                     if (!ec && m_onPeerGone) {
                                                         lookAtPeer();
                                                     }
                                                 });
}

template<typename Stream>
void HttpSession<Stream>::lookAtPeer()
{
    char c = 0;
    const ssize_t n = ::recv(beast::get_lowest_layer(m_stream).native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        return;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return watchPeer();
    }
    const std::function<void()> callback = std::exchange(m_onPeerGone, nullptr);
    close();
    callback();
}

template<typename Stream>
const HttpRequest &HttpSession<Stream>::request() const
{
    return m_request;
}

template<typename Stream>
const std::string &HttpSession<Stream>::peer() const
{
    return m_peer;
}

template<typename Stream>
template<typename Body>
void HttpSession<Stream>::prepare(http::response<Body> &message, int status, const HttpHeaders &headers)
{
    message.version(m_version);
    message.result(static_cast<unsigned>(status));
    for (const auto &[name, value] : headers.fields()) {
        message.insert(name, value);
    }
    const bool isLast = m_isDraining || m_context->isClosing;
    m_isKeptAlive = m_isKeptAlive && !isLast && message.keep_alive() && !isClosedByIntake();
    message.keep_alive(m_isKeptAlive);
}

template<typename Stream>
template<typename Body>
net::awaitable<beast::error_code> HttpSession<Stream>::writeMessage(http::response<Body> &message)
{
    beast::error_code ec;
    http::response_serializer<Body> serializer(message);
    while (!ec && !serializer.is_done()) {
        m_watchdog.expireAfter(m_context->settings.writeTimeout);
        noteWritten(co_await http::async_write_some(m_stream, serializer, awaitInto(ec)));
    }
    co_return ec;
}

template<typename Stream>
net::awaitable<absl::Status> HttpSession<Stream>::respond(HttpResponse response)
{
    beast::error_code ec;
    m_answer = AnswerState::Done;
    if (m_request.method == "HEAD") {
        http::response<http::empty_body> message;
        prepare(message, response.status, response.headers);
        message.content_length(response.body.size());
        ec = co_await writeMessage(message);
    } else {
        http::response<http::string_body> message;
        m_isKeptAlive = m_isKeptAlive && !m_context->endsAnswersByClosing;
        prepare(message, response.status, response.headers);
        message.body() = std::move(response.body);
        if (!m_context->endsAnswersByClosing) {
            message.prepare_payload();
        }
        ec = co_await writeMessage(message);
    }
    co_return outcomeOfWrite(ec);
}

template<typename Stream>
net::awaitable<absl::Status> HttpSession<Stream>::beginStream(int status, HttpHeaders headers)
{
    beast::error_code ec;
    m_answer = AnswerState::Streaming;
    // HTTP/1.0 has no chunks: there the end of the connection ends the body.
    m_isChunked = m_version >= kVersionWithChunks && !m_context->endsAnswersByClosing;
    m_isKeptAlive = m_isKeptAlive && m_isChunked;
    http::response<http::empty_body> message;
    prepare(message, status, headers);
    message.chunked(m_isChunked);
    http::response_serializer<http::empty_body> serializer(message);
    m_watchdog.expireAfter(m_context->settings.writeTimeout);
    noteWritten(co_await http::async_write_header(m_stream, serializer, awaitInto(ec)));
    co_return outcomeOfWrite(ec);
}

template<typename Stream>
net::awaitable<absl::Status> HttpSession<Stream>::write(std::string data)
{
    beast::error_code ec;
    if (data.empty()) {
        // An empty chunk would end the answer.
        co_return absl::OkStatus();
    }
    const std::string bytes = m_isChunked ? chunkOf(data) : std::move(data);
    std::size_t n = writeAtOnce(bytes, ec);
    while (!ec && n < bytes.size()) {
        m_watchdog.expireAfter(m_context->settings.writeTimeout);
        n += co_await m_stream.async_write_some(net::buffer(bytes) + n, awaitInto(ec));
    }
    noteWritten(n);
    co_return outcomeOfWrite(ec);
}

// Nearly always the kernel takes a piece of a stream whole. An asynchronous write would come back as a task even then,
// with a poll of the reactor in between.
template<typename Stream>
std::size_t HttpSession<Stream>::writeAtOnce(const std::string &bytes, beast::error_code &ec)
{
    if constexpr (kIsTls) {
        return 0;
    } else {
        if (!m_stream.non_blocking()) {
            m_stream.non_blocking(true, ec);
        }
        const std::size_t n = ec ? 0 : m_stream.write_some(net::buffer(bytes), ec);
        if (ec == net::error::would_block || ec == net::error::try_again) {
            ec = {};
        }
        return n;
    }
}

template<typename Stream>
net::awaitable<absl::Status> HttpSession<Stream>::endStream()
{
    beast::error_code ec;
    m_answer = AnswerState::Done;
    m_watchdog.expireAfter(m_context->settings.writeTimeout);
    if (m_isChunked) {
        noteWritten(co_await net::async_write(m_stream, http::make_chunk_last(), awaitInto(ec)));
    }
    co_return outcomeOfWrite(ec);
}

template<typename Stream>
absl::Status HttpSession<Stream>::outcomeOfWrite(beast::error_code ec)
{
    const bool wasSlow = m_watchdog.isExpired();
    m_watchdog.clear();
    if (!ec) {
        return absl::OkStatus();
    }
    close();
    if (wasSlow) {
        return makeFailure(FailureCode::ConnectionLost, "the reader " + m_peer + " took no byte for too long");
    }
    return makeFailure(FailureCode::ConnectionLost, "the reader " + m_peer + " is gone: " + ec.message());
}

template class HttpSession<ServerSocket>;
template class HttpSession<ServerTlsStream>;

}
