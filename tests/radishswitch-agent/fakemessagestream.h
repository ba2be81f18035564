#pragma once

#include "messagestream.h"

#include <utility>
#include <vector>

/// One side of a stream: keeps what is sent, and does to its owner what the test says.
class FakeMessageStream : public RadishSwitch::MessageStream
{
public:
    void start(MessageCallback onMessage, ClosedCallback onClosed) override
    {
        m_onMessage = std::move(onMessage);
        m_onClosed = std::move(onClosed);
    }

    void send(std::string frame) override
    {
        sent.push_back(std::move(frame));
    }

    std::size_t queuedBytes() const override
    {
        return queued;
    }

    void whenDrained(std::size_t, std::function<void()> callback) override
    {
        m_onDrained.push_back(std::move(callback));
    }

    void pause() override
    {
    }
    void resume() override
    {
    }

    void finish() override
    {
        isFinished = true;
    }

    void cancel() override
    {
        isCancelled = true;
    }

    void receive(std::string frame)
    {
        m_onMessage(std::move(frame));
    }

    void close(const absl::Status &status)
    {
        m_onClosed(status);
    }

    void drain()
    {
        queued = 0;
        for (const auto &callback : std::exchange(m_onDrained, {})) {
            callback();
        }
    }

    /// The frames sent since this was last asked.
    template<typename Message>
    std::vector<Message> take()
    {
        std::vector<Message> messages;
        for (const std::string &frame : std::exchange(sent, {})) {
            messages.emplace_back().ParseFromString(frame);
        }
        return messages;
    }

    std::vector<std::string> sent;
    std::size_t queued = 0;
    bool isFinished = false;
    bool isCancelled = false;

private:
    MessageCallback m_onMessage;
    ClosedCallback m_onClosed;
    std::vector<std::function<void()>> m_onDrained;
};
