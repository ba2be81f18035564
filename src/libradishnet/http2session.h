#pragma once

#include "http2stream.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <nghttp2/nghttp2.h>

#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// What the other side asks for with a new stream.
struct StreamRequest {
    std::string method;
    std::string path;
    std::string proof;
};

/// What a session tells its connection, from inside `Http2Session::receive`.
class Http2SessionListener
{
public:
    virtual ~Http2SessionListener() = default;

    /// A stream for this request, or why there is none: Unauthenticated or MalformedMessage.
    virtual absl::StatusOr<Http2StreamPointer> createStream(const StreamRequest &request) = 0;

    /// The stream is ready to be used.
    virtual void streamOpened(const Http2StreamPointer &stream) = 0;

    /// The other side takes no more streams on this connection.
    virtual void goAwayReceived() = 0;
};

/// The HTTP/2 state of one connection, by nghttp2: bytes in, bytes out, no sockets. Used on one strand.
class Http2Session
{
public:
    using Side = Http2Stream::Side;

    Http2Session(Side side, Http2SessionListener &listener);
    ~Http2Session();

    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /// Takes bytes from the other side. MalformedMessage when they can't be HTTP/2.
    absl::Status receive(std::string_view data);

    /// Appends to `output` what there is to send, until it holds `limit` bytes or a little more.
    absl::Status pull(std::string &output, std::size_t limit);

    /// Whether the session has ended: nothing is to be read or written any more.
    bool isOver() const;

    void ping();

    /// Sends the request of a client's stream. False when the connection can't take one more.
    bool open(const Http2StreamPointer &stream, const std::string &proof);

    /// Serves a stream that is open here: hands over, sends, or resets it when it has a fault.
    void serve(Http2Stream &stream);

    bool hasStreams() const;

    /// Removes and returns the streams that are open.
    std::vector<Http2StreamPointer> takeStreams();

private:
    class Callbacks;

    Http2Stream *stream(std::int32_t id) const;
    void headersReceived(const nghttp2_frame &frame);
    void requestReceived(std::int32_t id);
    void refuseRequest(std::int32_t id, const absl::Status &status);
    void statusReceived(Http2Stream &stream);
    void dataReceived(std::int32_t id, std::string_view data);
    void endReceived(std::int32_t id);
    void streamClosed(std::int32_t id, std::uint32_t errorCode);
    bool resetIfFaulty(Http2Stream &stream);

    Http2SessionListener &m_listener;
    nghttp2_session *m_session = nullptr;
    absl::flat_hash_map<std::int32_t, Http2StreamPointer> m_streams;
    /// The header block that is being read. Blocks of two streams never mix within a connection.
    StreamRequest m_request;
    std::string m_status;
    /// Where `pull` is writing to.
    std::string *m_output = nullptr;
    std::size_t m_outputLimit = 0;
};

}
