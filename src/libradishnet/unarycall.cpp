#include "unarycall.h"

#include "base/failure.h"

#include <mutex>
#include <utility>

namespace RadishSwitch
{

namespace
{

// The first of answer, end of the stream and timeout takes the callback; the others find it gone.
class PendingCall : public std::enable_shared_from_this<PendingCall>
{
public:
    explicit PendingCall(std::function<void(absl::StatusOr<std::string>)> callback)
        : m_callback(std::move(callback))
    {
    }

    void finish(absl::StatusOr<std::string> result)
    {
        std::function<void(absl::StatusOr<std::string>)> callback;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            callback = std::exchange(m_callback, nullptr);
        }
        if (callback) {
            callback(std::move(result));
        }
    }

private:
    std::mutex m_mutex;
    std::function<void(absl::StatusOr<std::string>)> m_callback;
};

}

void unaryCall(MessageClient &client, TimerService &timers, const std::string &path, std::string frame,
               Duration timeout, std::function<void(absl::StatusOr<std::string>)> callback)
{
    const auto call = std::make_shared<PendingCall>(std::move(callback));
    const MessageStreamPointer stream = client.open(path, std::move(frame));
    const TimerId timer = timers.after(timeout, [call, weak = std::weak_ptr(stream)] {
        call->finish(makeFailure(FailureCode::ConnectionSilent, "no answer came in time"));
        if (const auto stream = weak.lock()) {
            stream->cancel();
        }
    });
    // The stream holds these callbacks and with them itself until it has closed.
    stream->start(
        [call, stream, &timers, timer](std::string answer) {
            timers.cancel(timer);
            call->finish(std::move(answer));
        },
        [call, stream, &timers, timer](absl::Status status) {
            timers.cancel(timer);
            call->finish(status.ok() ? makeFailure(FailureCode::ConnectionLost, "the stream ended without an answer")
                                     : status);
        });
    stream->finish();
}

}
