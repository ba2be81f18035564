#include "http2connection.h"

#include "failure.h"
#include "sourceaddress.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

using boost::system::error_code;

constexpr std::size_t kInputBytes = 16 * 1024;
constexpr std::size_t kMaximumInputBytes = 64 * 1024;
constexpr std::size_t kOutputBytes = 64 * 1024;
/// A batch that would go on for longer lets other connections have the thread.
constexpr int kMaximumRounds = 8;

}

Http2Connection::Http2Connection(WorkerPool &workers, TransportSettings settings, Side side, ClosedCallback onClosed)
    : m_settings(std::move(settings))
    , m_proof(m_settings.fleetKey)
    , m_side(side)
    , m_strand(workers.context().get_executor())
    , m_socket(m_strand)
    , m_timer(m_strand)
    , m_onClosed(std::move(onClosed))
{
}

Http2Connection::Socket &Http2Connection::socket()
{
    return m_socket;
}

void Http2Connection::accept(HandlerLookup handlers)
{
    m_handlers = std::move(handlers);
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->runBatch([&] {
            self->begin();
        });
    });
}

void Http2Connection::connect(const boost::asio::ip::tcp::endpoint &endpoint)
{
    boost::asio::post(m_strand, [self = shared_from_this(), endpoint] {
        if (self->m_isClosed) {
            return;
        }
        self->armTimer(self->m_settings.connectTimeout);
        if (const error_code ec = openFrom(self->m_socket, self->m_settings.sourceAddress)) {
            self->runBatch([&] {
                self->shut(makeFailure(FailureCode::ConnectionLost, "no such source address: " + ec.message()));
            });
            return;
        }
        self->m_socket.async_connect(endpoint, [self](error_code ec) {
            self->runBatch([&] {
                if (ec) {
                    self->shut(makeFailure(FailureCode::ConnectionLost, "connecting failed: " + ec.message()));
                } else {
                    self->begin();
                }
            });
        });
    });
}

bool Http2Connection::isUsable() const
{
    return m_isUsable;
}

bool Http2Connection::wasHeard() const
{
    return m_wasHeard;
}

Http2StreamPointer Http2Connection::open(const std::string &path, std::string firstFrame)
{
    auto stream = std::make_shared<Http2Stream>(shared_from_this(), Side::Client, path);
    stream->send(std::move(firstFrame));
    return stream;
}

void Http2Connection::schedule(Http2StreamPointer stream)
{
    {
        const std::lock_guard lock(m_pendingMutex);
        m_pending.push_back(std::move(stream));
        if (std::exchange(m_isWakeDue, true)) {
            return;
        }
    }
    if (m_strand.running_in_this_thread() && m_isInBatch) {
        return;
    }
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->runBatch([] {});
    });
}

void Http2Connection::close()
{
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->runBatch([&] {
            self->shut(makeFailure(FailureCode::ConnectionLost, "the connection was closed on this side"));
        });
    });
}

template<typename Work>
void Http2Connection::runBatch(Work work)
{
    m_isInBatch = true;
    work();
    flush();
    m_isInBatch = false;
}

void Http2Connection::flush()
{
    for (int round = 0; round < kMaximumRounds; ++round) {
        const bool hasServed = servePending();
        const bool hasWritten = write();
        if (!hasServed && !hasWritten && !closeIfUnused()) {
            return;
        }
    }
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->runBatch([] {});
    });
}

bool Http2Connection::servePending()
{
    {
        const std::lock_guard lock(m_pendingMutex);
        m_serving.swap(m_pending);
        if (m_serving.empty()) {
            m_isWakeDue = false;
            return false;
        }
    }
    for (const Http2StreamPointer &stream : m_serving) {
        serve(stream);
    }
    m_serving.clear();
    return true;
}

void Http2Connection::serve(const Http2StreamPointer &stream)
{
    stream->beginServing();
    if (m_isClosed) {
        stream->end(makeFailure(FailureCode::ConnectionLost, "the connection is closed"));
        stream->handOver();
    } else if (stream->id() == 0) {
        openOnSession(stream);
    } else {
        m_session->serve(*stream);
    }
    stream->callWaiters();
}

void Http2Connection::openOnSession(const Http2StreamPointer &stream)
{
    if (const std::optional<absl::Status> fault = stream->takeFault()) {
        stream->end(*fault);
    }
    stream->handOver();
    if (stream->hasEnded()) {
        return;
    }
    if (!m_isConnected) {
        m_waiting.push_back(stream);
        return;
    }
    if (!m_session->open(stream, m_proof.make(stream->path()))) {
        m_isUsable = false;
        stream->end(makeFailure(FailureCode::ConnectionLost, "the connection takes no more streams"));
    } else if (stream->id() >= m_settings.maximumStreamId) {
        m_isUsable = false;
    }
}

bool Http2Connection::write()
{
    if (m_isClosed || !m_isConnected || m_isWriting) {
        return false;
    }
    m_output.clear();
    const absl::Status status = m_session->pull(m_output, kOutputBytes);
    if (!status.ok()) {
        shut(status);
        return true;
    }
    if (m_output.empty()) {
        return false;
    }
    error_code ec;
    const std::size_t n = m_socket.write_some(boost::asio::buffer(m_output), ec);
    if (ec && ec != boost::asio::error::would_block) {
        shut(makeFailure(FailureCode::ConnectionLost, "writing failed: " + ec.message()));
    } else if (n < m_output.size()) {
        writeRest(n);
    }
    return true;
}

void Http2Connection::writeRest(std::size_t written)
{
    m_isWriting = true;
    const auto rest = boost::asio::buffer(m_output) + written;
    boost::asio::async_write(m_socket, rest, [self = shared_from_this()](error_code ec, std::size_t) {
        self->runBatch([&] {
            self->m_isWriting = false;
            if (ec) {
                self->shut(makeFailure(FailureCode::ConnectionLost, "writing failed: " + ec.message()));
            }
        });
    });
}

void Http2Connection::begin()
{
    if (m_isClosed) {
        return;
    }
    error_code ec;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
    m_session = std::make_unique<Http2Session>(m_side, *this);
    m_input.resize(kInputBytes);
    m_isConnected = true;
    for (const Http2StreamPointer &stream : std::exchange(m_waiting, {})) {
        // A stream that was served more than once meanwhile stands here as often.
        if (stream->id() == 0) {
            openOnSession(stream);
        }
    }
    probe();
    read();
}

void Http2Connection::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_input), [self = shared_from_this()](error_code ec, std::size_t n) {
        self->runBatch([&] {
            self->inputRead(ec, n);
        });
    });
}

void Http2Connection::inputRead(const error_code &ec, std::size_t n)
{
    if (m_isClosed) {
        return;
    }
    if (ec) {
        shut(makeFailure(FailureCode::ConnectionLost, "the other side closed the connection: " + ec.message()));
        return;
    }
    m_wasHeard = true;
    m_wasHeardSinceProbe = true;
    m_unansweredSince.reset();
    const absl::Status status = m_session->receive(std::string_view(m_input.data(), n));
    if (!status.ok()) {
        shut(status);
        return;
    }
    if (n == m_input.size() && n < kMaximumInputBytes) {
        m_input.resize(kMaximumInputBytes);
    }
    read();
}

void Http2Connection::armTimer(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec) {
            self->runBatch([&] {
                self->timerFired();
            });
        }
    });
}

void Http2Connection::timerFired()
{
    if (m_isClosed) {
        return;
    }
    if (m_isConnected) {
        probe();
    } else {
        shut(makeFailure(FailureCode::ConnectionLost, "connecting took too long"));
    }
}

/// A connection that something between the two ends has lost track of stays open for good on both sides, and its
/// streams would wait for ever. A PING that nothing answers shows it; since both sides probe, it is enough that each
/// finds out when it can't hear the other.
void Http2Connection::probe()
{
    const Clock::time_point now = Clock::now();
    if (m_unansweredSince && hasUnreadInput()) {
        // This process was the one that stood still.
        m_unansweredSince = now;
    }
    if (m_unansweredSince && now - *m_unansweredSince >= m_settings.pingTimeout) {
        shut(makeFailure(FailureCode::ConnectionSilent, "nothing was heard since a PING"));
        return;
    }
    // The client's PINGs tell a server enough.
    const bool isDue = m_side == Side::Client || !m_wasHeardSinceProbe;
    if (!m_unansweredSince && isDue) {
        m_session->ping();
        m_unansweredSince = now;
    }
    m_wasHeardSinceProbe = false;
    Duration delay = m_settings.pingInterval;
    if (m_unansweredSince) {
        const auto untilTimeout = *m_unansweredSince + m_settings.pingTimeout - now;
        delay = std::min(delay, std::chrono::ceil<Duration>(untilTimeout));
    }
    armTimer(delay);
}

bool Http2Connection::hasUnreadInput() const
{
    error_code ec;
    return m_socket.available(ec) > 0;
}

bool Http2Connection::closeIfUnused()
{
    if (m_isClosed || !m_isConnected || m_isWriting) {
        return false;
    }
    const bool isRetired = m_side == Side::Client && !m_isUsable && !m_session->hasStreams();
    if (!m_session->isOver() && !isRetired) {
        return false;
    }
    shut(makeFailure(FailureCode::ConnectionLost, "the connection has ended"));
    return true;
}

void Http2Connection::shut(absl::Status status)
{
    if (std::exchange(m_isClosed, true)) {
        return;
    }
    m_isUsable = false;
    m_timer.cancel();
    error_code ec;
    m_socket.close(ec);
    std::vector<Http2StreamPointer> streams = std::exchange(m_waiting, {});
    if (m_session) {
        for (Http2StreamPointer &stream : m_session->takeStreams()) {
            streams.push_back(std::move(stream));
        }
        m_session.reset();
    }
    for (const Http2StreamPointer &stream : streams) {
        stream->end(status);
    }
    m_onClosed(*this);
    m_onClosed = nullptr;
    m_handlers = nullptr;
}

absl::StatusOr<Http2StreamPointer> Http2Connection::createStream(const StreamRequest &request)
{
    const Http2MessageServer::Handler *handler = m_handlers ? m_handlers(request.path) : nullptr;
    if (!m_proof.isValid(request.path, request.proof)) {
        return makeFailure(FailureCode::Unauthenticated, "the proof of the fleet key is wrong");
    }
    if (!handler || request.method != "POST") {
        return makeFailure(FailureCode::MalformedMessage, "no such path");
    }
    return std::make_shared<Http2Stream>(shared_from_this(), Side::Server, request.path);
}

void Http2Connection::streamOpened(const Http2StreamPointer &stream)
{
    (*m_handlers(stream->path()))(stream);
}

void Http2Connection::goAwayReceived()
{
    m_isUsable = false;
}

}
