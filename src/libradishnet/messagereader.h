#pragma once

#include "base/timerservice.h"
#include "messagestream.h"

#include <utility>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace RadishSwitch
{

/// Reads the frames of a stream in a coroutine, one after another, and holds the sender back while its own reader is
/// slow.
class MessageReader : public std::enable_shared_from_this<MessageReader>
{
public:
    /// Frames are handed over at `executor`, which must be the reading coroutine's own.
    static std::shared_ptr<MessageReader> attach(MessageStreamPointer stream, boost::asio::any_io_executor executor);

    /// The next frame. DeadlineExceeded when none came within `timeout`; what the stream closed with when it has ended
    /// (ConnectionLost also when it ended in order, since no frame can come any more).
    boost::asio::awaitable<absl::StatusOr<std::string>> next(Duration timeout);

    /// A frame that is there already, without waiting.
    std::optional<std::string> takeReady();

    const MessageStreamPointer &stream() const;

private:
    MessageReader(MessageStreamPointer stream, boost::asio::any_io_executor executor);

    void onMessage(std::string frame);
    void onClosed(absl::Status status);
    void wake();

    MessageStreamPointer m_stream;
    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_wakeUp;
    std::mutex m_mutex;
    std::deque<std::string> m_frames;
    std::size_t m_bytes = 0;
    bool m_isPaused = false;
    bool m_isWaiting = false;
    std::optional<absl::Status> m_closed;
};

}
