#pragma once

#include "acknowledgementwatch.h"
#include "answerframing.h"
#include "bodylimit.h"
#include "httpclient.h"
#include "limits/linktraffic.h"
#include "watchdog.h"
#include "workerpool.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstddef>
#include <limits>
#include <memory>
#include <optional>

namespace RadishSwitch
{

/// A wait for bytes that ended without any. Tells a silent other side from a process that was late to read.
struct ExpiredWait {
    /// How long after its end the wait was noticed to be over.
    Duration late{};
    /// Bytes that had arrived by then and were not read yet.
    std::size_t unread = 0;

    bool operator==(const ExpiredWait &) const = default;
};

/// What becomes of a connection whose deadline passes.
enum class AtExpiry {
    Close,
    /// What waits ends with ConnectionSilent, the connection stays open, and the same wait may be begun again: the
    /// other side may be at work.
    Pause,
};

/// One connection of the client, used by one request at a time. What reads or writes is used on the connection's
/// strand; the rest also by the owner of a connection on which nothing is going on.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    using Strand = boost::asio::any_io_executor;
    using Clock = std::chrono::steady_clock;

    /// `traffic` counts the bytes of the connection; null to count none.
    HttpConnection(WorkerPool &workers, std::string address, SilenceLimits silenceLimits = {},
                   LinkTraffic *traffic = nullptr);

    Strand strand() const;
    const std::string &address() const;

    boost::asio::awaitable<absl::Status> connect(Duration timeout);

    /// Whether nothing listened at the address when it was last connected to: the process that did has ended.
    bool wasRefused() const
    {
        return m_wasRefused;
    }

    boost::asio::awaitable<absl::Status> send(const HttpRequest &request);

    /// Sends while the caller goes on to `receiveHead`: an endpoint may answer before it has read a long request. When
    /// the sending fails, the connection is closed and the reading fails too.
    void startSending(const HttpRequest &request);

    /// Whether any byte of the request may have left this process.
    bool mayHaveSent() const
    {
        return m_hasSent;
    }

    /// Whether a request was dropped since the other side acknowledged nothing of it.
    bool wasHeldUp() const
    {
        return m_wasHeldUp;
    }

    /// Whether what `startSending` began is still going on.
    bool isSending() const
    {
        return m_outgoing != nullptr;
    }

    /// Reads the head of the answer; interim ones before it are dropped. After a pause it goes on where it was.
    /// MalformedMessage for bytes that are no answer (`checkResponseHead`), MessageTooLarge for too many of them.
    boost::asio::awaitable<absl::Status> receiveHead(bool hasBody);
    /// The whole body. With a `silence` other than zero it may take until `end` as long as no pause is longer than
    /// that. MessageTooLarge when it is longer than `maximumBytes`.
    boost::asio::awaitable<absl::StatusOr<std::string>>
    receiveAll(Duration silence = Duration::zero(), Clock::time_point end = Clock::time_point::max(),
               std::size_t maximumBytes = std::numeric_limits<std::size_t>::max());
    /// The same within the deadline, as long as `limit` admits what there is.
    boost::asio::awaitable<absl::StatusOr<std::string>> receiveAll(BodyLimit &limit);
    /// Reads the body and drops it. MessageTooLarge when it is longer than `maximumBytes`.
    boost::asio::awaitable<absl::Status> skipBody(std::size_t maximumBytes);
    /// The next bytes of the body; empty at its end.
    boost::asio::awaitable<absl::StatusOr<std::string>>
    receiveSome(Duration timeout, AtExpiry atExpiry = AtExpiry::Close, Duration longest = Duration::max());

    /// The deadline of everything up to the next call. A connection on which a request is still being sent can't pause:
    /// there the deadline moves on, and `longest` from now the connection is closed.
    void expireAfter(Duration span, AtExpiry atExpiry = AtExpiry::Close, Duration longest = Duration::max());
    void clearDeadline();

    /// Resets the connection while an answer is due, which drops what is still on its way to the other side. A request
    /// that a cut of the network holds up would otherwise arrive when the cut heals, seconds after everybody gave it
    /// up: ten and six calls on two days with endpoints that were cut off for six seconds.
    void close();

    bool isOpen() const;
    int status() const;
    /// The fields of the head, without those of a trailer.
    const HttpHeaders &headers() const
    {
        return m_headers;
    }

    /// The last deadline that passed on this connection, if any did.
    const std::optional<ExpiredWait> &expiredWait() const
    {
        return m_expiredWait;
    }

    /// Whether bytes have arrived that were not read.
    bool hasUnread();

    /// Whether any byte of an answer came since the last request went out.
    bool hasHeard() const;

    /// Whether the answer was read whole and the other side keeps the connection open.
    bool isKeptAlive() const;

    /// What tells where the body of the answer ends. To be called once its head is there.
    AnswerFraming framing() const;
    /// Whether bytes were read that come behind the answer and belong to no request.
    bool hasBytesBehindAnswer() const;

    /// Whether the connection was taken from among the idle ones.
    bool wasIdle() const;

    /// Whether nothing came on the idle connection: neither its end nor bytes that nobody asked for.
    bool isReusable();

    void setIdleSince(Clock::time_point moment);
    Clock::time_point idleSince() const;

private:
    /// What lies in the kernel.
    enum class Peeked {
        Nothing,
        Bytes,
        End,
    };

    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void expire();
    void goOnSending();
    /// What the kernel gives up by itself it does not reset. While a request is watched here, that is not to come
    /// first.
    void setUserTimeout(Duration span);
    Duration userTimeoutOfRequests() const;
    void watchAcknowledgements();
    void checkAcknowledgements();
    /// Bytes that were sent and not acknowledged; those that the other side has no room for are not among them.
    std::size_t unacknowledgedBytes();
    Peeked peek();
    bool hasReasonToReadOn(std::size_t unread) const;
    absl::Status failure(const std::string &step, boost::beast::error_code ec) const;
    bool isAwaitingAnswer() const;

    using Message = boost::beast::http::request<boost::beast::http::string_body>;

    /// Forgets the answer before, as a request goes out.
    void forgetAnswer();
    void beginHead(bool hasBody);
    boost::asio::awaitable<void> readHead(boost::beast::error_code &ec);
    /// Parses what is buffered of a head.
    void parseHead(boost::beast::error_code &ec);
    HttpHeaders parsedFields() const;
    absl::Status checkHead() const;
    /// The other side sends no more: the end of an answer that ends with its connection, and nothing else's.
    void takeEnd(boost::beast::error_code &ec);
    void applySilenceLimits();
    void noteRead(std::size_t n);
    void noteWritten(std::size_t n);
    void setOption(int level, int name, int value);
    /// Parses what is buffered of the body into `space`, and gives how much that was.
    std::size_t parseBody(boost::asio::mutable_buffer space, boost::beast::error_code &ec);
    /// Reads the body to its end, as long as `take` returns true for each part of it.
    template<typename Take>
    boost::asio::awaitable<absl::Status> readBody(Take take);
    absl::Status tooLarge() const;
    /// Waits for more of the answer, or for its end. A header_limit for too many bytes that can't be parsed yet.
    boost::asio::awaitable<void> fillBuffer(std::size_t size, boost::beast::error_code &ec);

    const Strand m_strand;
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand> m_socket;
    const std::string m_address;
    const SilenceLimits m_silenceLimits;
    LinkTraffic *const m_traffic;
    bool m_wasHeldUp = false;
    std::unique_ptr<Message> m_outgoing;
    bool m_hasSent = false;
    Watchdog m_watchdog;
    Watchdog m_acknowledgementTimer;
    AcknowledgementWatch m_acknowledgements;
    AtExpiry m_atExpiry = AtExpiry::Close;
    /// What the deadline was set to, and until when pauses are possible.
    Duration m_span{};
    Clock::time_point m_end = Clock::time_point::max();
    bool m_wasRefused = false;
    bool m_isPaused = false;
    /// Whether a deadline was put off for bytes that had arrived.
    bool m_isPutOff = false;
    /// Whether an error ended the connection that the reading need not notice: the kernel tells of it once only.
    bool m_hasBrokenOff = false;
    bool m_isReadingHead = false;
    int m_interimHeads = 0;
    HttpHeaders m_headers;
    std::optional<ExpiredWait> m_expiredWait;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    Clock::time_point m_idleSince;
};

}
