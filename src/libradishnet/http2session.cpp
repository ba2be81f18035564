#include "http2session.h"

#include "base/failure.h"
#include "http2sessioncallbacks.h"

#include <array>
#include <memory>

namespace RadishSwitch
{

namespace
{

/// A stream may have so much on its way unread: enough for 8 Gbit/s at a round trip of 1 ms.
constexpr std::int32_t kStreamWindowBytes = 1024 * 1024;
constexpr std::int32_t kConnectionWindowBytes = 8 * 1024 * 1024;
constexpr std::uint32_t kMaximumStreams = 100'000;
/// Each caller that hangs up resets a stream. By default nghttp2 takes more than 33 resets a second for an attack and
/// ends the connection, and with it the streams of all other callers.
constexpr std::uint64_t kResetsPerSecond = 100'000;

constexpr char kAccepted[] = "200";
constexpr char kUnauthenticated[] = "401";
constexpr char kUnknownPath[] = "404";

nghttp2_nv header(std::string_view name, std::string_view value, std::uint8_t flags)
{
    const auto bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(), flags};
}

nghttp2_nv fixedHeader(std::string_view name, std::string_view value)
{
    return header(name, value, NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE);
}

std::uint32_t resetCode(const absl::Status &fault)
{
    switch (failureCode(fault)) {
    case FailureCode::MessageTooLarge:
        return NGHTTP2_FRAME_SIZE_ERROR;
    case FailureCode::MalformedMessage:
        return NGHTTP2_PROTOCOL_ERROR;
    default:
        return NGHTTP2_CANCEL;
    }
}

absl::Status resetFailure(std::uint32_t errorCode)
{
    switch (errorCode) {
    case NGHTTP2_FRAME_SIZE_ERROR:
        return makeFailure(FailureCode::MessageTooLarge, "the other side refused a frame as too large");
    case NGHTTP2_PROTOCOL_ERROR:
        return makeFailure(FailureCode::MalformedMessage, "the other side could not read the stream");
    default:
        return makeFailure(FailureCode::ConnectionLost, "the other side ended the stream");
    }
}

struct OptionDeleter {
    void operator()(nghttp2_option *option) const
    {
        nghttp2_option_del(option);
    }
};

std::unique_ptr<nghttp2_option, OptionDeleter> sessionOptions()
{
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    // Streams that are over would be kept for a priority tree that nobody uses.
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_peer_max_concurrent_streams(option, kMaximumStreams);
    nghttp2_option_set_stream_reset_rate_limit(option, kResetsPerSecond, kResetsPerSecond);
    return std::unique_ptr<nghttp2_option, OptionDeleter>(option);
}

}

Http2Session::Http2Session(Side side, Http2SessionListener &listener)
    : m_listener(listener)
{
    const auto options = sessionOptions();
    const auto create = side == Side::Client ? nghttp2_session_client_new2 : nghttp2_session_server_new2;
    create(&m_session, Callbacks::table(), this, options.get());
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaximumStreams},
    };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

Http2Session::~Http2Session()
{
    nghttp2_session_del(m_session);
}

absl::Status Http2Session::receive(std::string_view data)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(data.data());
    const ssize_t n = nghttp2_session_mem_recv(m_session, bytes, data.size());
    if (n < 0) {
        return makeFailure(FailureCode::MalformedMessage, nghttp2_strerror(static_cast<int>(n)));
    }
    return absl::OkStatus();
}

absl::Status Http2Session::pull(std::string &output, std::size_t limit)
{
    m_output = &output;
    m_outputLimit = limit;
    while (output.size() < limit) {
        const std::uint8_t *data = nullptr;
        const ssize_t n = nghttp2_session_mem_send(m_session, &data);
        if (n < 0) {
            return makeFailure(FailureCode::Internal, nghttp2_strerror(static_cast<int>(n)));
        }
        if (n == 0) {
            break;
        }
        output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(n));
    }
    return absl::OkStatus();
}

bool Http2Session::isOver() const
{
    return nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0;
}

void Http2Session::ping()
{
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
}

bool Http2Session::open(const Http2StreamPointer &stream, const std::string &proof)
{
    if (nghttp2_session_check_request_allowed(m_session) == 0) {
        return false;
    }
    const std::array headers{
        fixedHeader(":method", "POST"),
        fixedHeader(":scheme", "http"),
        fixedHeader(":authority", "fleet"),
        header(":path", stream->path(), NGHTTP2_NV_FLAG_NO_COPY_NAME),
        header(kProofHeader, proof, NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_INDEX),
    };
    const nghttp2_data_provider provider{{.ptr = stream.get()}, Callbacks::readData};
    const std::int32_t id =
        nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, stream.get());
    if (id < 0) {
        return false;
    }
    stream->setId(id);
    m_streams.emplace(id, stream);
    return true;
}

void Http2Session::serve(Http2Stream &stream)
{
    if (resetIfFaulty(stream)) {
        return;
    }
    const std::size_t n = stream.handOver();
    if (n > 0) {
        nghttp2_session_consume_stream(m_session, stream.id(), n);
    }
    const Http2Stream::Outgoing outgoing = stream.outgoing();
    if (outgoing.bytes > 0 || outgoing.isLast) {
        nghttp2_session_resume_data(m_session, stream.id());
    }
}

bool Http2Session::hasStreams() const
{
    return !m_streams.empty();
}

std::vector<Http2StreamPointer> Http2Session::takeStreams()
{
    std::vector<Http2StreamPointer> streams;
    for (auto &[id, stream] : m_streams) {
        streams.push_back(std::move(stream));
    }
    m_streams.clear();
    return streams;
}

Http2Stream *Http2Session::stream(std::int32_t id) const
{
    return static_cast<Http2Stream *>(nghttp2_session_get_stream_user_data(m_session, id));
}

void Http2Session::headersReceived(const nghttp2_frame &frame)
{
    const std::int32_t id = frame.hd.stream_id;
    if (frame.headers.cat == NGHTTP2_HCAT_REQUEST) {
        requestReceived(id);
    } else if (Http2Stream *opened = stream(id); opened && !m_status.empty()) {
        statusReceived(*opened);
    }
}

void Http2Session::requestReceived(std::int32_t id)
{
    absl::StatusOr<Http2StreamPointer> created = m_listener.createStream(m_request);
    if (!created.ok()) {
        refuseRequest(id, created.status());
        return;
    }
    const Http2StreamPointer &stream = *created;
    const std::array headers{fixedHeader(":status", kAccepted)};
    const nghttp2_data_provider provider{{.ptr = stream.get()}, Callbacks::readData};
    stream->setId(id);
    nghttp2_session_set_stream_user_data(m_session, id, stream.get());
    m_streams.emplace(id, stream);
    nghttp2_submit_response(m_session, id, headers.data(), headers.size(), &provider);
    m_listener.streamOpened(stream);
}

void Http2Session::refuseRequest(std::int32_t id, const absl::Status &status)
{
    const bool isUnauthenticated = failureCode(status) == FailureCode::Unauthenticated;
    const std::array headers{fixedHeader(":status", isUnauthenticated ? kUnauthenticated : kUnknownPath)};
    nghttp2_submit_response(m_session, id, headers.data(), headers.size(), nullptr);
}

void Http2Session::statusReceived(Http2Stream &stream)
{
    if (m_status == kAccepted) {
        return;
    }
    if (m_status == kUnauthenticated) {
        stream.refuse(makeFailure(FailureCode::Unauthenticated, "the other side has another fleet key"));
    } else {
        stream.refuse(makeFailure(FailureCode::MalformedMessage, "the other side has no such path"));
    }
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream.id(), NGHTTP2_CANCEL);
}

/// The window of the whole connection is widened at once, that of the stream as its receiver takes the frames. Were
/// the former held back too, eight streams with slow readers would fill it, and all others would stand still with
/// nothing wrong to be seen. The streams' own windows are enough to bound what is kept.
void Http2Session::dataReceived(std::int32_t id, std::string_view data)
{
    nghttp2_session_consume_connection(m_session, data.size());
    Http2Stream *receiver = stream(id);
    if (!receiver) {
        nghttp2_session_consume_stream(m_session, id, data.size());
        return;
    }
    const std::size_t n = receiver->receive(data);
    if (!resetIfFaulty(*receiver) && n > 0) {
        nghttp2_session_consume_stream(m_session, id, n);
    }
}

void Http2Session::endReceived(std::int32_t id)
{
    if (Http2Stream *receiver = stream(id)) {
        receiver->endRemote();
        resetIfFaulty(*receiver);
    }
}

void Http2Session::streamClosed(std::int32_t id, std::uint32_t errorCode)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end()) {
        return;
    }
    const Http2StreamPointer stream = std::move(it->second);
    m_streams.erase(it);
    if (errorCode == NGHTTP2_REFUSED_STREAM) {
        stream->refuse(makeFailure(FailureCode::ConnectionLost, "the other side takes no more streams"));
    } else {
        stream->end(resetFailure(errorCode));
    }
}

bool Http2Session::resetIfFaulty(Http2Stream &stream)
{
    const std::optional<absl::Status> fault = stream.takeFault();
    if (!fault) {
        return false;
    }
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream.id(), resetCode(*fault));
    stream.end(*fault);
    return true;
}

}
