#pragma once

#include "base/failure.h"
#include "loadwire.h"
#include "messageclientsource.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// A stream of a subscription whose other side is the test. Callbacks run inside `deliver` and `close`.
class FakeLoadStream : public RadishSwitch::MessageStream
{
public:
    FakeLoadStream(std::string address, std::string firstFrame)
        : address(std::move(address))
        , sent{std::move(firstFrame)}
    {
    }

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
        return 0;
    }

    void whenDrained(std::size_t, std::function<void()>) override
    {
    }

    void pause() override
    {
    }

    void resume() override
    {
    }

    void finish() override
    {
    }

    void cancel() override
    {
        isCancelled = true;
    }

    void deliver(const RadishSwitch::wire::LoadMessage &message)
    {
        m_onMessage(message.SerializeAsString());
    }

    void deliverFrame(std::string frame)
    {
        m_onMessage(std::move(frame));
    }

    void close(const absl::Status &status)
    {
        m_onClosed(status);
    }

    const std::string address;
    std::vector<std::string> sent;
    bool isCancelled = false;

private:
    MessageCallback m_onMessage;
    ClosedCallback m_onClosed;
};

/// Clients that open streams to the test. Streams to addresses in `refusals` close at the test's `closeRefused`.
class FakeCollectors : public RadishSwitch::MessageClientSource
{
public:
    using StreamPointer = std::shared_ptr<FakeLoadStream>;

    std::shared_ptr<RadishSwitch::MessageClient> client(const std::string &address) override
    {
        return std::make_shared<Client>(*this, address);
    }

    /// Closes the streams opened since the last call to those addresses, as a real client does after the opening.
    void closeRefused()
    {
        for (; m_checked < opened.size(); ++m_checked) {
            const auto it = refusals.find(opened[m_checked]->address);
            if (it != refusals.end()) {
                const StreamPointer stream = opened[m_checked];
                stream->close(it->second);
            }
        }
    }

    /// All streams that were opened, in order.
    std::vector<StreamPointer> opened;
    std::map<std::string, absl::Status> refusals;

private:
    class Client : public RadishSwitch::MessageClient
    {
    public:
        Client(FakeCollectors &collectors, std::string address)
            : m_collectors(collectors)
            , m_address(std::move(address))
        {
        }

        RadishSwitch::MessageStreamPointer open(const std::string &path, std::string firstFrame) override
        {
            EXPECT_EQ(path, RadishSwitch::kLoadPath);
            m_collectors.opened.push_back(std::make_shared<FakeLoadStream>(m_address, std::move(firstFrame)));
            return m_collectors.opened.back();
        }

        const std::string &address() const override
        {
            return m_address;
        }

        void close() override
        {
        }

    private:
        FakeCollectors &m_collectors;
        const std::string m_address;
    };

    std::size_t m_checked = 0;
};
