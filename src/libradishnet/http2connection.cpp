#include "http2connection.h"

#include "base/failure.h"
#include "sourceaddress.h"

#include <boost/asio/post.hpp>

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

absl::Status lost(const std::string &what, const error_code &ec)
{
    return makeFailure(FailureCode::ConnectionLost, what + ": " + ec.message());
}

Instant present()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceEpoch));
}

ByteChannel::Side channelSide(Http2Connection::Side side)
{
    return side == Http2Connection::Side::Client ? ByteChannel::Side::Client : ByteChannel::Side::Server;
}

ConnectionProbe::Habit probeHabit(Http2Connection::Side side)
{
    return side == Http2Connection::Side::Client ? ConnectionProbe::Habit::Always : ConnectionProbe::Habit::WhenQuiet;
}

}

/// Keeps a connection for a handler that waits. A handler is destroyed without having run only when the workers'
/// context is; then the connection lets go of its streams, which hold it in turn and would keep each other for ever.
class Http2Connection::Hold
{
public:
    explicit Hold(std::shared_ptr<Http2Connection> connection)
        : m_connection(std::move(connection))
    {
    }

    Hold(Hold &&) = default;

    ~Hold()
    {
        if (m_connection) {
            m_connection->abandon();
        }
    }

    std::shared_ptr<Http2Connection> take()
    {
        return std::move(m_connection);
    }

private:
    std::shared_ptr<Http2Connection> m_connection;
};

Http2Connection::Http2Connection(WorkerPool &workers, TransportSettings settings, std::shared_ptr<TlsContext> tls,
                                 Side side, ClosedCallback onClosed)
    : m_settings(std::move(settings))
    , m_proof(m_settings.fleetKey)
    , m_side(side)
    , m_strand(workers.context().get_executor())
    , m_channel(m_strand, std::move(tls), channelSide(side))
    , m_timer(m_strand)
    , m_onClosed(std::move(onClosed))
    , m_probe(probeHabit(side), m_settings.pingInterval, m_settings.pingTimeout)
{
}

/// The handler of an asynchronous operation: runs `work` with the operation's results, then writes what came of it.
template<typename Work>
auto Http2Connection::batchHandler(Work work)
{
    return [hold = Hold(shared_from_this()), work = std::move(work)](auto... results) mutable {
        const std::shared_ptr<Http2Connection> self = hold.take();
        self->m_isInBatch = true;
        work(*self, results...);
        self->flush();
        self->m_isInBatch = false;
    };
}

template<typename Work>
void Http2Connection::postBatch(Work work)
{
    boost::asio::post(m_strand, batchHandler(std::move(work)));
}

ByteChannel::Socket &Http2Connection::socket()
{
    return m_channel.socket();
}

void Http2Connection::accept(HandlerLookup handlers)
{
    m_handlers = std::move(handlers);
    postBatch([](Http2Connection &self) {
        if (!self.m_isClosed) {
            self.armTimer(self.m_settings.connectTimeout);
            self.secure();
        }
    });
}

void Http2Connection::connect(const boost::asio::ip::tcp::endpoint &endpoint)
{
    postBatch([endpoint](Http2Connection &self) {
        self.beginConnecting(endpoint);
    });
}

void Http2Connection::beginConnecting(const boost::asio::ip::tcp::endpoint &endpoint)
{
    if (m_isClosed) {
        return;
    }
    armTimer(m_settings.connectTimeout);
    if (const error_code ec = openFrom(m_channel.socket(), m_settings.sourceAddress)) {
        shut(makeFailure(FailureCode::ConnectionLost, "no such source address: " + ec.message()));
        return;
    }
    m_channel.socket().async_connect(endpoint, batchHandler([](Http2Connection &self, const error_code &ec) {
                                         if (ec) {
                                             self.shut(lost("connecting failed", ec));
                                         } else {
                                             self.secure();
                                         }
                                     }));
}

/// Goes through TLS's handshake where the fleet has certificates.
void Http2Connection::secure()
{
    if (m_isClosed) {
        return;
    }
    m_channel.configure();
    if (!m_channel.isEncrypted()) {
        begin();
        return;
    }
    m_channel.asyncHandshake(batchHandler([](Http2Connection &self, const error_code &ec) {
        if (ec) {
            self.shut(lost("the TLS handshake failed", ec));
        } else {
            self.begin();
        }
    }));
}

bool Http2Connection::isUsable() const
{
    return m_isUsable;
}

bool Http2Connection::wasHeard() const
{
    return m_wasHeard;
}

MessageStreamPointer Http2Connection::open(const std::string &path, std::string firstFrame)
{
    auto stream = std::make_shared<Http2Stream>(shared_from_this(), Side::Client, path);
    stream->send(std::move(firstFrame));
    return Http2Stream::handle(std::move(stream));
}

void Http2Connection::schedule(Http2StreamPointer stream)
{
    {
        const std::lock_guard lock(m_pendingMutex);
        if (m_isAbandoned) {
            return;
        }
        m_pending.push_back(std::move(stream));
        if (std::exchange(m_isWakeDue, true)) {
            return;
        }
    }
    if (m_strand.running_in_this_thread() && m_isInBatch) {
        return;
    }
    postBatch([](Http2Connection &) {});
}

void Http2Connection::close()
{
    // At once, so that a stream opened after this call goes to another connection.
    m_isUsable = false;
    postBatch([](Http2Connection &self) {
        self.shut(makeFailure(FailureCode::ConnectionLost, "the connection was closed on this side"));
    });
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
    postBatch([](Http2Connection &) {});
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
    // One buffer a thread serves all connections, of which a process has thousands, mostly idle.
    thread_local std::string output;
    output.clear();
    const absl::Status status = m_session->pull(output, kOutputBytes);
    if (!status.ok()) {
        shut(status);
        return true;
    }
    if (output.empty()) {
        return false;
    }
    error_code ec;
    const std::size_t n = m_channel.writeNow(boost::asio::buffer(output), ec);
    if (ec) {
        shut(lost("writing failed", ec));
    } else if (n < output.size()) {
        writeLater(output.substr(n));
    }
    return true;
}

void Http2Connection::writeLater(std::string rest)
{
    m_isWriting = true;
    m_unwritten = std::move(rest);
    m_channel.asyncWrite(boost::asio::buffer(m_unwritten),
                         batchHandler([](Http2Connection &self, const error_code &ec, std::size_t) {
                             self.restWritten(ec);
                         }));
}

void Http2Connection::restWritten(const error_code &ec)
{
    m_isWriting = false;
    m_unwritten = {};
    if (ec) {
        shut(lost("writing failed", ec));
    }
}

void Http2Connection::begin()
{
    if (m_isClosed) {
        return;
    }
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
    m_channel.asyncRead(boost::asio::buffer(m_input),
                        batchHandler([](Http2Connection &self, const error_code &ec, std::size_t n) {
                            self.inputRead(ec, n);
                        }));
}

void Http2Connection::inputRead(const error_code &ec, std::size_t n)
{
    if (m_isClosed) {
        return;
    }
    if (ec) {
        shut(lost("the other side closed the connection", ec));
        return;
    }
    m_wasHeard = true;
    m_probe.heard();
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
    m_timer.async_wait(batchHandler([](Http2Connection &self, const error_code &ec) {
        if (!ec) {
            self.timerFired();
        }
    }));
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

void Http2Connection::probe()
{
    switch (m_probe.step(present(), m_channel.hasUnreadInput())) {
    case ConnectionProbe::Step::GiveUp:
        shut(makeFailure(FailureCode::ConnectionSilent, "nothing was heard since a PING"));
        return;
    case ConnectionProbe::Step::SendPing:
        m_session->ping();
        break;
    case ConnectionProbe::Step::Wait:
        break;
    }
    armTimer(m_probe.untilNext(present()));
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
    m_channel.close();
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

void Http2Connection::abandon()
{
    std::vector<Http2StreamPointer> streams;
    {
        const std::lock_guard lock(m_pendingMutex);
        m_isAbandoned = true;
        streams.swap(m_pending);
    }
    m_isUsable = false;
    m_isClosed = true;
    streams.insert(streams.end(), m_waiting.begin(), m_waiting.end());
    m_waiting.clear();
    if (m_session) {
        const std::vector<Http2StreamPointer> open = m_session->takeStreams();
        streams.insert(streams.end(), open.begin(), open.end());
        m_session.reset();
    }
    m_handlers = nullptr;
    m_onClosed = nullptr;
    for (const Http2StreamPointer &stream : streams) {
        stream->abandon();
    }
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
    (*m_handlers(stream->path()))(Http2Stream::handle(stream));
}

void Http2Connection::goAwayReceived()
{
    m_isUsable = false;
}

}
