#include "httpconnection.h"

#include "base/failure.h"
#include "log.h"
#include "responsehead.h"
#include "socketaddress.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>

namespace RadishSwitch
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

const Log kLog("http");

/// Probes without an answer after which the kernel gives a connection up.
constexpr int kKeepAliveProbes = 2;
constexpr std::uint32_t kMaximumHeaderBytes = 64 * 1024;
constexpr int kMaximumInterimHeads = 16;
/// Bytes of a body that wait for more to be parsed: the size, an extension or the trailer of a chunk.
constexpr std::size_t kMaximumUnparsedBytes = 64 * 1024;
constexpr std::uint64_t kMaximumBodyBytes = 256 * 1024 * 1024;
/// Looks at the acknowledgements of a request within the time that it may be held up.
constexpr int kAcknowledgementLooks = 4;
/// Times that for which a request may be held up, until the kernel gives up its connection. Its clock runs from what
/// was heard last, which on a connection that was idle is up to a probe before the request.
constexpr int kKernelPatience = 5;
/// A process that was late reads what has arrived within this.
constexpr Duration kLateRead = std::chrono::milliseconds(100);
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::size_t kHeadReadBytes = 4 * 1024;
/// A stream waits inside the read for most of its life, so that this is memory of each open stream.
constexpr std::size_t kStreamReadBytes = 4 * 1024;

/// A length that is known beforehand.
class FixedLimit : public BodyLimit
{
public:
    explicit FixedLimit(std::size_t maximumBytes)
        : m_maximumBytes(maximumBytes)
    {
    }

    bool admits(std::size_t bytes) override
    {
        return bytes <= m_maximumBytes;
    }

private:
    const std::size_t m_maximumBytes;
};

/// Appends to a body. A string doubles its space when it grows; the space of a long body grows by a quarter.
void appendTo(std::string &data, std::string_view part)
{
    constexpr std::size_t kLongBytes = 256 * 1024;
    const std::size_t size = data.size() + part.size();
    if (size > kLongBytes && size > data.capacity()) {
        std::string grown;
        grown.reserve(size + size / 4);
        grown.append(data);
        data = std::move(grown);
    }
    data.append(part);
}

auto awaitInto(beast::error_code &ec)
{
    return net::redirect_error(net::use_awaitable, ec);
}

http::request<http::string_body> messageOf(const HttpRequest &request, const std::string &address)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto &[name, value] : request.headers.fields()) {
        message.insert(name, value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, address);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

}

HttpConnection::HttpConnection(WorkerPool &workers, std::string address, SilenceLimits silenceLimits,
                               LinkTraffic *traffic)
    : m_strand(workers.connectionExecutor())
    , m_socket(m_strand)
    , m_address(std::move(address))
    , m_silenceLimits(silenceLimits)
    , m_traffic(traffic)
    , m_watchdog(m_strand,
                 [this] {
                     expire();
                 })
    , m_acknowledgementTimer(m_strand,
                             [this] {
                                 checkAcknowledgements();
                             })
    , m_acknowledgements(silenceLimits.heldUpRequest)
{
}

HttpConnection::Strand HttpConnection::strand() const
{
    return m_strand;
}

const std::string &HttpConnection::address() const
{
    return m_address;
}

net::awaitable<absl::Status> HttpConnection::connect(Duration timeout)
{
    const absl::StatusOr<SocketAddress> target = parseSocketAddress(m_address);
    if (!target.ok()) {
        co_return target.status();
    }
    beast::error_code ec;
    const net::ip::tcp::endpoint endpoint(net::ip::make_address(target->ip()), target->port());
    expireAfter(timeout);
    co_await m_socket.async_connect(endpoint, awaitInto(ec));
    if (ec && m_watchdog.isExpired()) {
        co_return makeFailure(FailureCode::ConnectionSilent, m_address + " took no connection in time");
    }
    m_wasRefused = ec == net::error::connection_refused;
    if (ec) {
        co_return makeFailure(FailureCode::ConnectionLost, m_address + " can't be reached: " + ec.message());
    }
    m_socket.set_option(net::ip::tcp::no_delay(true), ec);
    applySilenceLimits();
    co_return absl::OkStatus();
}

void HttpConnection::applySilenceLimits()
{
    setUserTimeout(userTimeoutOfRequests());
    if (m_silenceLimits.probeInterval > Duration::zero()) {
        const auto span = std::chrono::ceil<std::chrono::seconds>(m_silenceLimits.probeInterval);
        setOption(SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(span.count()));
        setOption(IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(span.count()));
        setOption(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
    }
}

void HttpConnection::setOption(int level, int name, int value)
{
    if (::setsockopt(m_socket.native_handle(), level, name, &value, sizeof value) != 0) {
        kLog.warning("a socket option was refused", {field("address", m_address), field("option", name)});
    }
}

Duration HttpConnection::userTimeoutOfRequests() const
{
    return std::max(m_silenceLimits.unacknowledged, kKernelPatience * m_silenceLimits.heldUpRequest);
}

void HttpConnection::setUserTimeout(Duration span)
{
    if (span > Duration::zero()) {
        const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(span);
        setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
    }
}

void HttpConnection::startSending(const HttpRequest &request)
{
    m_outgoing = std::make_unique<Message>(messageOf(request, m_address));
    // Until the kernel says that it took nothing, some of it may have left.
    m_hasSent = true;
    forgetAnswer();
    if (wasIdle() && m_silenceLimits.heldUpRequest > Duration::zero()) {
        setUserTimeout(userTimeoutOfRequests());
    }
    http::async_write(m_socket, *m_outgoing, [self = shared_from_this()](beast::error_code ec, std::size_t n) {
        self->m_hasSent = n > 0;
        self->noteWritten(n);
        self->m_outgoing.reset();
        if (ec) {
            self->m_hasBrokenOff = true;
            self->close();
        }
    });
    watchAcknowledgements();
}

void HttpConnection::forgetAnswer()
{
    m_parser.reset();
    m_isReadingHead = false;
    m_interimHeads = 0;
}

void HttpConnection::watchAcknowledgements()
{
    if (m_silenceLimits.heldUpRequest > Duration::zero()) {
        m_acknowledgementTimer.expireAfter(m_silenceLimits.heldUpRequest / kAcknowledgementLooks);
    }
}

void HttpConnection::checkAcknowledgements()
{
    const std::size_t n = unacknowledgedBytes();
    const bool isHeldUp = m_acknowledgements.isHeldUp(n, Clock::now());
    if (!isAwaitingAnswer() || !isOpen()) {
        return;
    }
    m_wasHeldUp = isHeldUp;
    if (isHeldUp) {
        kLog.info("held-up request dropped", {field("address", m_address), field("unacknowledged", n)});
        return close();
    }
    if (n > 0 || isSending()) {
        watchAcknowledgements();
    }
}

std::size_t HttpConnection::unacknowledgedBytes()
{
    int kept = 0;
    int unsent = 0;
    if (::ioctl(m_socket.native_handle(), SIOCOUTQ, &kept) != 0) {
        return 0;
    }
    if (::ioctl(m_socket.native_handle(), SIOCOUTQNSD, &unsent) != 0) {
        unsent = 0;
    }
    return static_cast<std::size_t>(std::max(kept - unsent, 0));
}

net::awaitable<absl::Status> HttpConnection::send(const HttpRequest &request)
{
    m_hasSent = true;
    forgetAnswer();
    beast::error_code ec;
    const auto message = messageOf(request, m_address);
    const std::size_t n = co_await http::async_write(m_socket, message, awaitInto(ec));
    noteWritten(n);
    if (!ec) {
        co_return absl::OkStatus();
    }
    const absl::Status status = failure("sending", ec);
    // Bytes that the kernel took may have reached the other side whatever happened afterwards.
    co_return n == 0 ? status : withUnknownOutcome(status);
}

net::awaitable<absl::Status> HttpConnection::receiveHead(bool hasBody)
{
    if (!std::exchange(m_isReadingHead, true)) {
        beginHead(hasBody);
    }
    while (true) {
        beast::error_code ec;
        co_await readHead(ec);
        m_isReadingHead = ec == net::error::operation_aborted;
        const absl::Status checked = ec ? withUnknownOutcome(failure("reading", ec)) : checkHead();
        if (!checked.ok()) {
            co_return checked;
        }
        if (!isInterimStatus(status())) {
            m_headers = parsedFields();
            co_return checked;
        }
        if (++m_interimHeads > kMaximumInterimHeads) {
            co_return tooLarge();
        }
        m_isReadingHead = true;
        beginHead(hasBody);
    }
}

void HttpConnection::beginHead(bool hasBody)
{
    m_parser.emplace();
    m_parser->header_limit(kMaximumHeaderBytes);
    m_parser->body_limit(kMaximumBodyBytes);
    m_parser->skip(!hasBody);
}

net::awaitable<void> HttpConnection::readHead(beast::error_code &ec)
{
    parseHead(ec);
    while (!ec && !m_parser->is_header_done()) {
        co_await fillBuffer(kHeadReadBytes, ec);
        if (!ec) {
            parseHead(ec);
        }
    }
}

// The parser joins continued lines, so that they have to be looked for in what it took.
void HttpConnection::parseHead(beast::error_code &ec)
{
    if (m_buffer.size() == 0) {
        return;
    }
    const auto *begin = static_cast<const char *>(m_buffer.data().data());
    const std::size_t n = m_parser->put(m_buffer.data(), ec);
    const bool isContinued = hasContinuedLine({begin, n});
    m_buffer.consume(n);
    if (ec == http::error::need_more) {
        ec = {};
    }
    if (!ec && isContinued) {
        ec = http::error::bad_field;
    }
}

// Those that follow a body in chunks are added to them later.
HttpHeaders HttpConnection::parsedFields() const
{
    HttpHeaders headers;
    for (const auto &field : m_parser->get()) {
        headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

absl::Status HttpConnection::checkHead() const
{
    const absl::Status status = checkResponseHead(m_parser->get().base());
    if (status.ok()) {
        return status;
    }
    return withUnknownOutcome(
        makeFailure(FailureCode::MalformedMessage, m_address + ": " + std::string(status.message())));
}

// Parses what is there before it waits for more. Beast's own reading makes a task of each step, and the reactor polls
// between tasks; here an event of a stream costs one wait.
net::awaitable<absl::StatusOr<std::string>> HttpConnection::receiveSome(Duration timeout, AtExpiry atExpiry,
                                                                        Duration longest)
{
    std::array<char, kStreamReadBytes> buf;
    beast::error_code ec;
    expireAfter(timeout, atExpiry, longest);
    m_parser->eager(true);
    while (!m_parser->is_done()) {
        const std::size_t n = parseBody(net::buffer(buf), ec);
        if (ec) {
            co_return withUnknownOutcome(failure("reading", ec));
        }
        if (n > 0) {
            m_watchdog.clear();
            co_return std::string(buf.data(), n);
        }
        if (!m_parser->is_done()) {
            co_await fillBuffer(kStreamReadBytes, ec);
        }
        if (ec) {
            co_return withUnknownOutcome(failure("reading", ec));
        }
    }
    m_watchdog.clear();
    co_return std::string();
}

std::size_t HttpConnection::parseBody(net::mutable_buffer space, beast::error_code &ec)
{
    auto &body = m_parser->get().body();
    body.data = space.data();
    body.size = space.size();
    if (m_buffer.size() > 0) {
        m_buffer.consume(m_parser->put(m_buffer.data(), ec));
    }
    if (ec == http::error::need_buffer || ec == http::error::need_more) {
        ec = {};
    }
    return space.size() - body.size;
}

net::awaitable<void> HttpConnection::fillBuffer(std::size_t size, beast::error_code &ec)
{
    if (m_buffer.size() >= kMaximumUnparsedBytes) {
        ec = http::error::header_limit;
        co_return;
    }
    const std::size_t n = co_await m_socket.async_read_some(m_buffer.prepare(size), awaitInto(ec));
    m_buffer.commit(n);
    noteRead(n);
    if (ec == net::error::eof) {
        takeEnd(ec);
    }
}

// Whoever notices a reset first, the writing of the request or a look for unread bytes, is told of it by the kernel.
// Whoever reads then sees an end as if the other side had closed in order.
void HttpConnection::takeEnd(beast::error_code &ec)
{
    if (m_hasBrokenOff) {
        ec = net::error::connection_reset;
    } else if (m_parser->got_some()) {
        ec = {};
        m_parser->put_eof(ec);
    } else {
        ec = http::error::end_of_stream;
    }
}

void HttpConnection::noteRead(std::size_t n)
{
    if (m_traffic) {
        m_traffic->noteIn(static_cast<std::int64_t>(n));
    }
}

void HttpConnection::noteWritten(std::size_t n)
{
    if (m_traffic) {
        m_traffic->noteOut(static_cast<std::int64_t>(n));
    }
}

net::awaitable<absl::StatusOr<std::string>> HttpConnection::receiveAll(Duration silence, Clock::time_point end,
                                                                       std::size_t maximumBytes)
{
    std::string data;
    FixedLimit limit(maximumBytes);
    const absl::Status status = co_await readBody([&](std::string_view part) {
        appendTo(data, part);
        if (silence > Duration::zero()) {
            expireAfter(std::min(silence, std::chrono::duration_cast<Duration>(end - Clock::now())));
        }
        return limit.admits(data.size());
    });
    co_return status.ok() ? absl::StatusOr<std::string>(std::move(data)) : status;
}

net::awaitable<absl::StatusOr<std::string>> HttpConnection::receiveAll(BodyLimit &limit)
{
    std::string data;
    const absl::Status status = co_await readBody([&](std::string_view part) {
        appendTo(data, part);
        return limit.admits(data.size());
    });
    co_return status.ok() ? absl::StatusOr<std::string>(std::move(data)) : status;
}

net::awaitable<absl::Status> HttpConnection::skipBody(std::size_t maximumBytes)
{
    std::size_t skipped = 0;
    co_return co_await readBody([&](std::string_view part) {
        skipped += part.size();
        return skipped <= maximumBytes;
    });
}

template<typename Take>
net::awaitable<absl::Status> HttpConnection::readBody(Take take)
{
    std::array<char, kReadBytes> buf;
    beast::error_code ec;
    m_parser->eager(true);
    while (!m_parser->is_done()) {
        const std::size_t n = parseBody(net::buffer(buf), ec);
        if (n > 0 && !take(std::string_view(buf.data(), n))) {
            co_return tooLarge();
        }
        if (!ec && n == 0 && !m_parser->is_done()) {
            co_await fillBuffer(kReadBytes, ec);
        }
        if (ec) {
            co_return withUnknownOutcome(failure("reading", ec));
        }
    }
    co_return absl::OkStatus();
}

absl::Status HttpConnection::tooLarge() const
{
    return withUnknownOutcome(makeFailure(FailureCode::MessageTooLarge, m_address + " sent too much"));
}

absl::Status HttpConnection::failure(const std::string &step, beast::error_code ec) const
{
    const bool isPaused = m_isPaused && ec == net::error::operation_aborted;
    if (isPaused || m_watchdog.isExpired()) {
        return makeFailure(FailureCode::ConnectionSilent, m_address + " was silent while " + step);
    }
    if (ec == http::error::body_limit || ec == http::error::header_limit) {
        return makeFailure(FailureCode::MessageTooLarge, m_address + " sent too much: " + ec.message());
    }
    if (ec.category() == http::make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream
        && ec != http::error::partial_message) {
        return makeFailure(FailureCode::MalformedMessage, m_address + " sent no HTTP/1.1: " + ec.message());
    }
    return makeFailure(FailureCode::ConnectionLost, m_address + " was lost while " + step + ": " + ec.message());
}

void HttpConnection::expireAfter(Duration span, AtExpiry atExpiry, Duration longest)
{
    m_atExpiry = atExpiry;
    m_span = span;
    m_end = longest == Duration::max() ? Clock::time_point::max() : Clock::now() + longest;
    m_isPutOff = false;
    m_isPaused = false;
    m_watchdog.expireAfter(span);
}

void HttpConnection::expire()
{
    beast::error_code ec;
    const std::size_t unread = m_socket.available(ec);
    if (!m_isPutOff) {
        m_expiredWait = ExpiredWait{m_watchdog.lateness(), ec ? 0 : unread};
    }
    if (hasReasonToReadOn(ec ? 0 : unread)) {
        m_isPutOff = true;
        m_watchdog.expireAfter(kLateRead);
        return;
    }
    if (m_atExpiry == AtExpiry::Close) {
        return close();
    }
    if (isSending()) {
        return goOnSending();
    }
    // The deadline stands again in case the read has just ended by itself, with its next step yet to come.
    m_watchdog.expireAfter(m_span);
    m_isPaused = true;
    m_socket.cancel(ec);
}

// To cancel the reading would break off the request as well.
void HttpConnection::goOnSending()
{
    const Clock::time_point now = Clock::now();
    if (now >= m_end) {
        return close();
    }
    m_watchdog.expireAfter(std::min(m_span, std::chrono::duration_cast<Duration>(m_end - now)));
}

// What has arrived by the deadline is not missing: it is this process that was late, with a large configuration to read
// or without processor time. An answer that is ready is delivered.
bool HttpConnection::hasReasonToReadOn(std::size_t unread) const
{
    return unread > 0 && !m_isPutOff;
}

void HttpConnection::clearDeadline()
{
    m_watchdog.clear();
}

void HttpConnection::close()
{
    beast::error_code ec;
    if (isAwaitingAnswer()) {
        m_socket.set_option(net::socket_base::linger(true, 0), ec);
    }
    m_socket.close(ec);
}

bool HttpConnection::isAwaitingAnswer() const
{
    return m_hasSent && !(m_parser && m_parser->is_done());
}

bool HttpConnection::isOpen() const
{
    return m_socket.is_open();
}

int HttpConnection::status() const
{
    return static_cast<int>(m_parser->get().result_int());
}

bool HttpConnection::hasHeard() const
{
    return m_buffer.size() > 0 || m_interimHeads > 0 || (m_parser && m_parser->got_some());
}

bool HttpConnection::isKeptAlive() const
{
    return m_parser && m_parser->is_done() && m_parser->keep_alive();
}

bool HttpConnection::hasBytesBehindAnswer() const
{
    return m_buffer.size() > 0 && m_parser && m_parser->is_done();
}

AnswerFraming HttpConnection::framing() const
{
    if (m_parser->chunked()) {
        return AnswerFraming::Chunks;
    }
    return m_parser->need_eof() ? AnswerFraming::Connection : AnswerFraming::Length;
}

bool HttpConnection::wasIdle() const
{
    return m_idleSince != Clock::time_point();
}

bool HttpConnection::isReusable()
{
    return m_socket.is_open() && m_buffer.size() == 0 && peek() == Peeked::Nothing;
}

bool HttpConnection::hasUnread()
{
    return peek() == Peeked::Bytes;
}

HttpConnection::Peeked HttpConnection::peek()
{
    char c = 0;
    const ssize_t n = ::recv(m_socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        return Peeked::Bytes;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return Peeked::Nothing;
    }
    m_hasBrokenOff = m_hasBrokenOff || n < 0;
    return Peeked::End;
}

void HttpConnection::setIdleSince(Clock::time_point moment)
{
    m_idleSince = moment;
    if (m_silenceLimits.heldUpRequest > Duration::zero()) {
        setUserTimeout(m_silenceLimits.unacknowledged);
    }
}

HttpConnection::Clock::time_point HttpConnection::idleSince() const
{
    return m_idleSince;
}

}
