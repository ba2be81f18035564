#include "http2stream.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

Http2Stream::Http2Stream(std::shared_ptr<StreamScheduler> scheduler, Side side, std::string path)
    : m_scheduler(std::move(scheduler))
    , m_side(side)
    , m_path(std::move(path))
    , m_assembler(kMaximumFrameBytes)
{
}

MessageStreamPointer Http2Stream::handle(Http2StreamPointer stream)
{
    MessageStream *const pointer = stream.get();
    return MessageStreamPointer(pointer, [stream = std::move(stream)](MessageStream *) {
        stream->release();
    });
}

void Http2Stream::start(MessageCallback onMessage, ClosedCallback onClosed)
{
    m_onMessage = std::move(onMessage);
    m_onClosed = std::move(onClosed);
    m_isStarted.store(true, std::memory_order_release);
    scheduleLocked(std::unique_lock(m_mutex));
}

void Http2Stream::send(std::string frame)
{
    std::unique_lock lock(m_mutex);
    if (m_isSendingOver || m_isFinishing) {
        return;
    }
    if (frame.size() > kMaximumFrameBytes) {
        m_isOversized = true;
        m_isCancelled = true;
    } else {
        m_outgoing.push(std::move(frame));
    }
    scheduleLocked(std::move(lock));
}

std::size_t Http2Stream::queuedBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_outgoing.bytes();
}

void Http2Stream::whenDrained(std::size_t bytes, std::function<void()> callback)
{
    std::unique_lock lock(m_mutex);
    m_waiters.push_back({bytes, std::move(callback)});
    if (hasDrainedWaiter()) {
        scheduleLocked(std::move(lock));
    }
}

void Http2Stream::pause()
{
    m_isPaused = true;
}

void Http2Stream::resume()
{
    m_isPaused = false;
    scheduleLocked(std::unique_lock(m_mutex));
}

void Http2Stream::finish()
{
    std::unique_lock lock(m_mutex);
    if (!m_isFinishing) {
        m_isFinishing = true;
        scheduleLocked(std::move(lock));
    }
}

void Http2Stream::cancel()
{
    m_isCancelled = true;
    scheduleLocked(std::unique_lock(m_mutex));
}

const std::string &Http2Stream::path() const
{
    return m_path;
}

std::int32_t Http2Stream::id() const
{
    return m_id;
}

void Http2Stream::setId(std::int32_t id)
{
    m_id = id;
}

void Http2Stream::markSent()
{
    m_isSent = true;
}

void Http2Stream::beginServing()
{
    const std::lock_guard lock(m_mutex);
    m_isScheduled = false;
    if (m_isReleased) {
        finishReleased();
    }
    if (m_isOversized) {
        setFault(FailureCode::MessageTooLarge, "the frame to send is too large");
    } else if (m_isCancelled) {
        setFault(FailureCode::ConnectionLost, "the stream was cancelled");
    }
}

std::size_t Http2Stream::receive(std::string_view data)
{
    const std::size_t n = data.size();
    if (m_end || m_isCancelled) {
        return n;
    }
    while (auto frame = m_assembler.next(data)) {
        if (m_kept.empty() && canHandOver()) {
            m_onMessage(std::move(*frame));
        } else if (!m_isCancelled) {
            m_kept.push_back(std::move(*frame));
        }
    }
    if (m_assembler.isTooLarge()) {
        setFault(FailureCode::MessageTooLarge, "a frame's length is above the maximum");
        return n;
    }
    if (m_kept.empty() && canHandOver()) {
        return n;
    }
    m_unconsumed += n;
    return 0;
}

std::size_t Http2Stream::handOver()
{
    while (!m_kept.empty() && canHandOver()) {
        std::string frame = std::move(m_kept.front());
        m_kept.pop_front();
        m_onMessage(std::move(frame));
    }
    if (m_isCancelled) {
        m_kept.clear();
    }
    const bool isHandedOver = m_kept.empty() && canHandOver();
    if (m_end && m_kept.empty()) {
        tellClosed();
    }
    return isHandedOver ? std::exchange(m_unconsumed, 0) : 0;
}

void Http2Stream::endRemote()
{
    if (!m_assembler.isAtBoundary()) {
        setFault(FailureCode::MalformedMessage, "the stream ended inside a frame");
        return;
    }
    setEnd(absl::OkStatus());
}

void Http2Stream::end(absl::Status status)
{
    closeSending();
    if (m_side == Side::Client && m_isSent && !status.ok()) {
        status = withUnknownOutcome(std::move(status));
    }
    setEnd(std::move(status));
}

void Http2Stream::refuse(absl::Status status)
{
    closeSending();
    setEnd(std::move(status));
}

std::optional<absl::Status> Http2Stream::takeFault()
{
    return std::exchange(m_fault, std::nullopt);
}

bool Http2Stream::hasEnded() const
{
    return m_end.has_value();
}

Http2Stream::Outgoing Http2Stream::outgoing() const
{
    const std::lock_guard lock(m_mutex);
    return {m_outgoing.bytes(), m_isFinishing};
}

void Http2Stream::take(std::string &output, std::size_t n)
{
    std::unique_lock lock(m_mutex);
    m_outgoing.take(output, n);
    if (hasDrainedWaiter()) {
        scheduleLocked(std::move(lock));
    }
}

void Http2Stream::callWaiters()
{
    std::vector<Waiter> drained;
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiters.empty()) {
            return;
        }
        const auto isDrained = [this](const Waiter &waiter) {
            return m_isSendingOver || m_outgoing.bytes() <= waiter.bytes;
        };
        const auto waiting = std::stable_partition(m_waiters.begin(), m_waiters.end(), isDrained);
        drained.assign(std::make_move_iterator(m_waiters.begin()), std::make_move_iterator(waiting));
        m_waiters.erase(m_waiters.begin(), waiting);
    }
    for (const Waiter &waiter : drained) {
        waiter.callback();
    }
}

void Http2Stream::abandon()
{
    std::vector<Waiter> waiters;
    const MessageCallback onMessage = std::exchange(m_onMessage, nullptr);
    const ClosedCallback onClosed = std::exchange(m_onClosed, nullptr);
    const std::lock_guard lock(m_mutex);
    m_isSendingOver = true;
    waiters.swap(m_waiters);
}

void Http2Stream::release()
{
    m_isReleased = true;
    scheduleLocked(std::unique_lock(m_mutex));
}

/// Called with the lock held. A stream that was started and not closed yet still has something to tell.
void Http2Stream::finishReleased()
{
    if (!m_isStarted) {
        m_onMessage = [](const std::string &) {};
        m_onClosed = [](const absl::Status &) {};
        m_isStarted = true;
        m_isFinishing = true;
    }
    m_isFinishing = m_isFinishing || m_isClosedTold;
}

void Http2Stream::scheduleLocked(std::unique_lock<std::mutex> lock)
{
    if (std::exchange(m_isScheduled, true)) {
        return;
    }
    lock.unlock();
    m_scheduler->schedule(shared_from_this());
}

bool Http2Stream::canHandOver() const
{
    return m_isStarted.load(std::memory_order_acquire) && !m_isPaused && !m_isCancelled;
}

bool Http2Stream::hasDrainedWaiter() const
{
    return std::any_of(m_waiters.begin(), m_waiters.end(), [this](const Waiter &waiter) {
        return m_isSendingOver || m_outgoing.bytes() <= waiter.bytes;
    });
}

void Http2Stream::closeSending()
{
    std::unique_lock lock(m_mutex);
    m_isSendingOver = true;
    m_outgoing.clear();
    if (hasDrainedWaiter()) {
        scheduleLocked(std::move(lock));
    }
}

/// Frames that were kept are still handed over before an end in order, and to a stream that isn't started yet. A pause
/// doesn't hold back the news of a loss: its receiver is to go on elsewhere.
void Http2Stream::setEnd(absl::Status status)
{
    if (m_end) {
        return;
    }
    if (!status.ok() && m_isStarted) {
        m_kept.clear();
    }
    m_end = std::move(status);
    handOver();
}

void Http2Stream::setFault(FailureCode code, const std::string &message)
{
    if (!std::exchange(m_hasFault, true)) {
        m_fault = makeFailure(code, message);
    }
}

void Http2Stream::tellClosed()
{
    if (m_isClosedTold || !m_isStarted.load(std::memory_order_acquire)) {
        return;
    }
    m_isClosedTold = true;
    const ClosedCallback onClosed = std::exchange(m_onClosed, nullptr);
    const MessageCallback onMessage = std::exchange(m_onMessage, nullptr);
    if (m_side == Side::Client) {
        // The server's answer is complete: an HTTP/2 stream with this direction left open would stay for ever.
        finish();
    }
    onClosed(std::move(*m_end));
}

}
