#include "messagereader.h"

#include "base/failure.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace RadishSwitch
{

namespace
{

// Enough for a burst of tokens; a caller that reads slower than this makes the agent wait.
constexpr std::size_t kPauseAtBytes = 256 * 1024;
constexpr std::size_t kResumeAtBytes = 64 * 1024;

}

std::shared_ptr<MessageReader> MessageReader::attach(MessageStreamPointer stream, boost::asio::any_io_executor executor)
{
    const std::shared_ptr<MessageReader> reader(new MessageReader(std::move(stream), std::move(executor)));
    reader->m_stream->start(
        [weak = reader->weak_from_this()](std::string frame) {
            if (const auto self = weak.lock()) {
                self->onMessage(std::move(frame));
            }
        },
        [weak = reader->weak_from_this()](absl::Status status) {
            if (const auto self = weak.lock()) {
                self->onClosed(std::move(status));
            }
        });
    return reader;
}

MessageReader::MessageReader(MessageStreamPointer stream, boost::asio::any_io_executor executor)
    : m_stream(std::move(stream))
    , m_executor(std::move(executor))
    , m_wakeUp(m_executor)
{
}

boost::asio::awaitable<absl::StatusOr<std::string>> MessageReader::next(Duration timeout)
{
    const auto self = shared_from_this();
    m_wakeUp.expires_after(timeout);
    while (true) {
        if (std::optional<std::string> frame = takeReady()) {
            co_return std::move(*frame);
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (!m_frames.empty()) {
                continue;
            }
            if (m_closed) {
                co_return m_closed->ok() ? makeFailure(FailureCode::ConnectionLost, "the stream has ended") : *m_closed;
            }
            m_isWaiting = true;
        }
        boost::system::error_code ec;
        co_await m_wakeUp.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        if (!ec) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_isWaiting = false;
            if (m_frames.empty() && !m_closed) {
                co_return makeFailure(FailureCode::DeadlineExceeded, "no message came in time");
            }
        }
    }
}

std::optional<std::string> MessageReader::takeReady()
{
    bool resumes = false;
    std::optional<std::string> frame;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_frames.empty()) {
            return std::nullopt;
        }
        frame = std::move(m_frames.front());
        m_frames.pop_front();
        m_bytes -= frame->size();
        if (m_isPaused && m_bytes <= kResumeAtBytes) {
            m_isPaused = false;
            resumes = true;
        }
    }
    if (resumes) {
        m_stream->resume();
    }
    return frame;
}

const MessageStreamPointer &MessageReader::stream() const
{
    return m_stream;
}

void MessageReader::onMessage(std::string frame)
{
    bool pauses = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_bytes += frame.size();
        m_frames.push_back(std::move(frame));
        if (!m_isPaused && m_bytes > kPauseAtBytes) {
            m_isPaused = true;
            pauses = true;
        }
    }
    if (pauses) {
        m_stream->pause();
    }
    wake();
}

void MessageReader::onClosed(absl::Status status)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_closed = std::move(status);
    }
    wake();
}

// The timer belongs to the reading coroutine's executor and no other thread may touch it, so it is cancelled there. A
// wake-up between the look at the queue and the wait would be lost if it were cancelled before it waits; it is posted
// behind the coroutine's own step and so comes after it.
void MessageReader::wake()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_isWaiting) {
            return;
        }
        m_isWaiting = false;
    }
    boost::asio::post(m_executor, [self = shared_from_this()] {
        self->m_wakeUp.cancel();
    });
}

}
