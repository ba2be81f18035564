#pragma once

#include "messagestream.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// Keeps what a stream hands over, and lets a test wait for it. A wait gives up after kPatience, which no passing test
/// comes near.
class StreamRecorder : public std::enable_shared_from_this<StreamRecorder>
{
public:
    static constexpr std::chrono::seconds kPatience{30};

    static std::shared_ptr<StreamRecorder> listenTo(RadishSwitch::MessageStream &stream)
    {
        auto recorder = std::make_shared<StreamRecorder>();
        stream.start(
            [recorder](std::string frame) {
                recorder->add(std::move(frame));
            },
            [recorder](absl::Status status) {
                recorder->setClosed(std::move(status));
            });
        return recorder;
    }

    void add(std::string frame)
    {
        const std::lock_guard lock(m_mutex);
        m_frames.push_back(std::move(frame));
        m_changed.notify_all();
    }

    void setClosed(absl::Status status)
    {
        const std::lock_guard lock(m_mutex);
        m_closed = std::move(status);
        m_changed.notify_all();
    }

    /// The first `count` frames, or fewer when the stream closed or patience ended before.
    std::vector<std::string> waitForFrames(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, kPatience, [&] {
            return m_frames.size() >= count || m_closed;
        });
        return m_frames;
    }

    std::optional<absl::Status> waitForClosed()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, kPatience, [&] {
            return m_closed.has_value();
        });
        return m_closed;
    }

    std::size_t frameCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_frames.size();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_frames;
    std::optional<absl::Status> m_closed;
};
