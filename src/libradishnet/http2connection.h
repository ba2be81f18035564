#pragma once

#include "bytechannel.h"
#include "connectionprobe.h"
#include "http2session.h"
#include "http2transport.h"
#include "streamproof.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <vector>

namespace RadishSwitch
{

/// One TCP connection with its HTTP/2 session, its probes and its streams.
///
/// All work happens on one strand, in batches: a batch reads or serves the streams that were scheduled, then writes
/// all that came of it at once. A connection lives as long as it is open or a stream of it is held.
class Http2Connection : public StreamScheduler,
                        public Http2SessionListener,
                        public std::enable_shared_from_this<Http2Connection>
{
public:
    using Side = Http2Stream::Side;
    using Strand = ByteChannel::Strand;
    using Timer = boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                                    boost::asio::wait_traits<std::chrono::steady_clock>, Strand>;

    /// The server's handler of a path, or null.
    using HandlerLookup = std::function<const Http2MessageServer::Handler *(const std::string &path)>;
    /// Comes once, on the strand.
    using ClosedCallback = std::function<void(Http2Connection &)>;

    /// `tls` is null for plain TCP.
    Http2Connection(WorkerPool &workers, TransportSettings settings, std::shared_ptr<TlsContext> tls, Side side,
                    ClosedCallback onClosed);

    /// Where an acceptor puts the connection that it took.
    ByteChannel::Socket &socket();

    /// Begins to work on the accepted socket.
    void accept(HandlerLookup handlers);

    /// Begins to connect. Streams may be opened already.
    void connect(const boost::asio::ip::tcp::endpoint &endpoint);

    /// Whether new streams may go here.
    bool isUsable() const;

    /// Whether anything ever came from the other side. Used on the strand.
    bool wasHeard() const;

    /// Opens a client's stream.
    MessageStreamPointer open(const std::string &path, std::string firstFrame);

    void schedule(Http2StreamPointer stream) override;

    /// Ends the connection and its streams. Safe on any thread.
    void close();

    absl::StatusOr<Http2StreamPointer> createStream(const StreamRequest &request) override;
    void streamOpened(const Http2StreamPointer &stream) override;
    void goAwayReceived() override;

private:
    class Hold;

    template<typename Work>
    auto batchHandler(Work work);
    template<typename Work>
    void postBatch(Work work);
    void flush();
    bool servePending();
    void serve(const Http2StreamPointer &stream);
    void openOnSession(const Http2StreamPointer &stream);
    bool write();
    void writeLater(std::string rest);
    void restWritten(const boost::system::error_code &ec);
    void beginConnecting(const boost::asio::ip::tcp::endpoint &endpoint);
    void secure();
    void begin();
    void read();
    void inputRead(const boost::system::error_code &ec, std::size_t n);
    void armTimer(Duration delay);
    void timerFired();
    void probe();
    bool closeIfUnused();
    void shut(absl::Status status);
    void abandon();

    const TransportSettings m_settings;
    const StreamProof m_proof;
    const Side m_side;
    Strand m_strand;
    ByteChannel m_channel;
    Timer m_timer;
    std::atomic<bool> m_isUsable = true;

    /// Guards the three lines that follow. No other lock is taken under it.
    std::mutex m_pendingMutex;
    std::vector<Http2StreamPointer> m_pending;
    bool m_isWakeDue = false;
    bool m_isAbandoned = false;

    ClosedCallback m_onClosed;
    HandlerLookup m_handlers;
    std::unique_ptr<Http2Session> m_session;
    std::vector<Http2StreamPointer> m_waiting;
    std::vector<Http2StreamPointer> m_serving;
    std::vector<char> m_input;
    std::string m_unwritten;
    bool m_isInBatch = false;
    bool m_isConnected = false;
    bool m_isClosed = false;
    bool m_isWriting = false;
    bool m_wasHeard = false;
    ConnectionProbe m_probe;
};

}
