#include "http2sessioncallbacks.h"

#include <algorithm>

namespace RadishSwitch
{

const nghttp2_session_callbacks *Http2Session::Callbacks::table()
{
    static const nghttp2_session_callbacks *const callbacks = makeTable();
    return callbacks;
}

ssize_t Http2Session::Callbacks::readData(nghttp2_session *, std::int32_t, std::uint8_t *, std::size_t length,
                                          std::uint32_t *flags, nghttp2_data_source *source, void *)
{
    const Http2Stream::Outgoing outgoing = static_cast<Http2Stream *>(source->ptr)->outgoing();
    if (outgoing.bytes == 0 && !outgoing.isLast) {
        return NGHTTP2_ERR_DEFERRED;
    }
    const std::size_t n = std::min(length, outgoing.bytes);
    if (n > 0) {
        *flags |= NGHTTP2_DATA_FLAG_NO_COPY;
    }
    if (outgoing.isLast && n == outgoing.bytes) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(n);
}

nghttp2_session_callbacks *Http2Session::Callbacks::makeTable()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, readHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, frameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, dataReceived);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, streamClosed);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, beforeFrameSent);
    nghttp2_session_callbacks_set_send_data_callback(callbacks, sendData);
    return callbacks;
}

Http2Session &Http2Session::Callbacks::session(void *userData)
{
    return *static_cast<Http2Session *>(userData);
}

int Http2Session::Callbacks::beginHeaders(nghttp2_session *, const nghttp2_frame *, void *userData)
{
    session(userData).m_request = {};
    session(userData).m_status.clear();
    return 0;
}

int Http2Session::Callbacks::readHeader(nghttp2_session *, const nghttp2_frame *, const std::uint8_t *name,
                                        std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                                        std::uint8_t, void *userData)
{
    const std::string_view field(reinterpret_cast<const char *>(name), nameLength);
    const std::string_view text(reinterpret_cast<const char *>(value), valueLength);
    Http2Session &self = session(userData);
    if (field == ":path") {
        self.m_request.path = text;
    } else if (field == ":method") {
        self.m_request.method = text;
    } else if (field == kProofHeader) {
        self.m_request.proof = text;
    } else if (field == ":status") {
        self.m_status = text;
    }
    return 0;
}

int Http2Session::Callbacks::frameReceived(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    Http2Session &self = session(userData);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        self.m_listener.goAwayReceived();
    } else if (frame->hd.type == NGHTTP2_HEADERS) {
        self.headersReceived(*frame);
    }
    const bool carriesEnd = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (carriesEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        self.endReceived(frame->hd.stream_id);
    }
    return 0;
}

int Http2Session::Callbacks::dataReceived(nghttp2_session *, std::uint8_t, std::int32_t id, const std::uint8_t *data,
                                          std::size_t length, void *userData)
{
    session(userData).dataReceived(id, std::string_view(reinterpret_cast<const char *>(data), length));
    return 0;
}

int Http2Session::Callbacks::streamClosed(nghttp2_session *, std::int32_t id, std::uint32_t errorCode, void *userData)
{
    session(userData).streamClosed(id, errorCode);
    return 0;
}

int Http2Session::Callbacks::beforeFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *userData)
{
    if (frame->hd.type == NGHTTP2_HEADERS) {
        if (Http2Stream *stream = session(userData).stream(frame->hd.stream_id)) {
            stream->markSent();
        }
    }
    return 0;
}

int Http2Session::Callbacks::sendData(nghttp2_session *, nghttp2_frame *, const std::uint8_t *frameHeader,
                                      std::size_t length, nghttp2_data_source *source, void *userData)
{
    constexpr std::size_t kFrameHeaderBytes = 9;
    Http2Session &self = session(userData);
    self.m_output->append(reinterpret_cast<const char *>(frameHeader), kFrameHeaderBytes);
    static_cast<Http2Stream *>(source->ptr)->take(*self.m_output, length);
    return self.m_output->size() < self.m_outputLimit ? 0 : NGHTTP2_ERR_PAUSE;
}

}
