#pragma once

#include "base/failure.h"
#include "frameassembler.h"
#include "framequeue.h"
#include "messagestream.h"

#include <atomic>
#include <list>
#include <mutex>
#include <optional>
#include <vector>

namespace RadishSwitch
{

class Http2Stream;
using Http2StreamPointer = std::shared_ptr<Http2Stream>;

/// Serves streams on one strand: their callbacks, and what they want of their connection.
class StreamScheduler
{
public:
    virtual ~StreamScheduler() = default;

    /// Has the stream served soon, never inside this call. Safe on any thread.
    virtual void schedule(Http2StreamPointer stream) = 0;
};

/// One stream of an HTTP/2 connection.
///
/// The members of MessageStream only note what is wanted and schedule the stream; all else happens on the strand of
/// its connection. So nothing a callback does can reach into the HTTP/2 session that is calling it.
class Http2Stream : public MessageStream, public std::enable_shared_from_this<Http2Stream>
{
public:
    enum class Side {
        Client,
        Server,
    };

    /// What there is to send now.
    struct Outgoing {
        std::size_t bytes = 0;
        /// Whether the sending direction ends behind these bytes.
        bool isLast = false;
    };

    Http2Stream(std::shared_ptr<StreamScheduler> scheduler, Side side, std::string path);

    /// What users of the stream hold. The connection holds the stream itself, so that one which nobody holds goes on to
    /// call back; but nobody can finish it any more, so that is done here as soon as it has nothing to tell.
    static MessageStreamPointer handle(Http2StreamPointer stream);

    void start(MessageCallback onMessage, ClosedCallback onClosed) override;
    void send(std::string frame) override;
    std::size_t queuedBytes() const override;
    void whenDrained(std::size_t bytes, std::function<void()> callback) override;
    void pause() override;
    void resume() override;
    void finish() override;
    void cancel() override;

    const std::string &path() const;

    // What follows is used on the connection's strand alone.

    /// The id within the connection; zero before the stream is opened there.
    std::int32_t id() const;
    void setId(std::int32_t id);

    /// The request has gone into the connection's output, so the other side may have acted on it.
    void markSent();

    /// From now on a change schedules the stream anew.
    void beginServing();

    /// Takes arrived bytes and hands over the frames that they complete.
    /// Returns the bytes by which the stream's window can be widened.
    std::size_t receive(std::string_view data);

    /// Hands over what was kept, then the closing. Returns the bytes by which the window can be widened.
    std::size_t handOver();

    /// The other side's direction has ended in order.
    void endRemote();

    /// The stream is over in both directions. The first end that is told counts.
    void end(absl::Status status);

    /// As `end`, for a stream which the other side is known not to have acted on.
    void refuse(absl::Status status);

    /// Why this side wants the stream reset: it was cancelled, or something sent or received can't be a frame. Told
    /// once.
    std::optional<absl::Status> takeFault();

    bool hasEnded() const;

    Outgoing outgoing() const;
    void take(std::string &output, std::size_t n);

    /// Calls back those who wait for the queue to drain, where it has.
    void callWaiters();

    /// The threads of the connection have ended: nothing is called back any more.
    void abandon();

private:
    struct Waiter {
        std::size_t bytes;
        std::function<void()> callback;
    };

    void release();
    void finishReleased();
    void scheduleLocked(std::unique_lock<std::mutex> lock);
    bool canHandOver() const;
    bool hasDrainedWaiter() const;
    void closeSending();
    void setFault(FailureCode code, const std::string &message);
    void setEnd(absl::Status status);
    void tellClosed();

    const std::shared_ptr<StreamScheduler> m_scheduler;
    const Side m_side;
    const std::string m_path;

    std::atomic<bool> m_isStarted = false;
    std::atomic<bool> m_isPaused = false;
    std::atomic<bool> m_isCancelled = false;
    std::atomic<bool> m_isReleased = false;

    /// Guards what follows, up to the blank line. No other lock is taken under it.
    mutable std::mutex m_mutex;
    FrameQueue m_outgoing;
    std::vector<Waiter> m_waiters;
    bool m_isScheduled = false;
    bool m_isFinishing = false;
    bool m_isSendingOver = false;
    bool m_isOversized = false;

    /// Written before m_isStarted is set, then used on the strand.
    MessageCallback m_onMessage;
    ClosedCallback m_onClosed;

    std::int32_t m_id = 0;
    bool m_isSent = false;
    FrameAssembler m_assembler;
    std::list<std::string> m_kept;
    std::size_t m_unconsumed = 0;
    std::optional<absl::Status> m_fault;
    bool m_hasFault = false;
    std::optional<absl::Status> m_end;
    bool m_isClosedTold = false;
};

}
