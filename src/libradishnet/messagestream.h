#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// One stream between two processes of the fleet, both ways: whole frames, in order, under flow control.
///
/// All members may be called on any thread. Callbacks come one at a time, never from inside a call of a member, and
/// end with the closing one. They come on the strand of the stream's connection: one that takes long holds up all
/// streams of that connection. A frame is at most kMaximumFrameBytes; a larger one closes the stream with
/// MessageTooLarge.
///
/// A stream whose last pointer is gone goes on to call back, and finishes by itself once it has closed; one that was
/// never started finishes at once and drops what comes.
class MessageStream
{
public:
    static constexpr std::size_t kMaximumFrameBytes = 16 * 1024 * 1024;

    using MessageCallback = std::function<void(std::string frame)>;
    /// OK when the other side finished in order, behind its last frame; ConnectionLost, ConnectionSilent,
    /// Unauthenticated, MalformedMessage or MessageTooLarge otherwise, also ahead of frames that a pause kept back. On
    /// the client's side a failure has the outcome "not run" where nothing of the stream was sent or the other side
    /// refused it; any other is marked with an unknown outcome.
    ///
    /// A client's stream is over then. A server's goes on to send after an OK, until it finishes itself.
    using ClosedCallback = std::function<void(absl::Status)>;

    virtual ~MessageStream() = default;

    /// Must be called once, before anything is received; frames that came earlier are kept and handed over then.
    virtual void start(MessageCallback onMessage, ClosedCallback onClosed) = 0;

    /// Queues a frame. After the stream's end it is dropped, and `queuedBytes` stays zero: the closing callback tells.
    virtual void send(std::string frame) = 0;

    /// Bytes queued here that the other side's window has not let through.
    virtual std::size_t queuedBytes() const = 0;

    /// Calls `callback` once, when no more than `bytes` are queued or the stream has closed. For senders that follow a
    /// slow receiver's pace.
    virtual void whenDrained(std::size_t bytes, std::function<void()> callback) = 0;

    /// Stops handing frames over and widening the window, until `resume`. For receivers whose own reader is slow.
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// Ends the sending direction after what is queued.
    virtual void finish() = 0;

    /// Ends both directions at once; what is queued is dropped. The closing callback still comes.
    virtual void cancel() = 0;
};

using MessageStreamPointer = std::shared_ptr<MessageStream>;

/// Opens streams to one other process. Connects when first needed and again when the connection is lost or has gone
/// silent; a stream never moves to another connection.
class MessageClient
{
public:
    virtual ~MessageClient() = default;

    /// Opens a stream on `path` and queues `firstFrame`. A stream whose connection cannot be made closes with
    /// ConnectionLost; then nothing of it was sent.
    virtual MessageStreamPointer open(const std::string &path, std::string firstFrame) = 0;

    /// "address:port" of the other process.
    virtual const std::string &address() const = 0;

    /// Closes the connection and fails its streams.
    virtual void close() = 0;
};

}
