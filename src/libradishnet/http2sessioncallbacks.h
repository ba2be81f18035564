#pragma once

#include "http2session.h"

namespace RadishSwitch
{

/// The header that carries a stream's proof.
inline constexpr char kProofHeader[] = "x-radishswitch-proof";

/// What nghttp2 calls while a session receives or pulls.
class Http2Session::Callbacks
{
public:
    static const nghttp2_session_callbacks *table();

    /// The source of all streams' data. Its pointer is the Http2Stream.
    static ssize_t readData(nghttp2_session *session, std::int32_t id, std::uint8_t *buf, std::size_t length,
                            std::uint32_t *flags, nghttp2_data_source *source, void *userData);

private:
    static nghttp2_session_callbacks *makeTable();
    static Http2Session &session(void *userData);
    static int beginHeaders(nghttp2_session *session, const nghttp2_frame *frame, void *userData);
    static int readHeader(nghttp2_session *session, const nghttp2_frame *frame, const std::uint8_t *name,
                          std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                          std::uint8_t flags, void *userData);
    static int frameReceived(nghttp2_session *session, const nghttp2_frame *frame, void *userData);
    static int dataReceived(nghttp2_session *session, std::uint8_t flags, std::int32_t id, const std::uint8_t *data,
                            std::size_t length, void *userData);
    static int streamClosed(nghttp2_session *session, std::int32_t id, std::uint32_t errorCode, void *userData);
    static int beforeFrameSent(nghttp2_session *session, const nghttp2_frame *frame, void *userData);
    static int sendData(nghttp2_session *session, nghttp2_frame *frame, const std::uint8_t *frameHeader,
                        std::size_t length, nghttp2_data_source *source, void *userData);
};

}
