#pragma once

#include "base/failure.h"
#include "messageclientsource.h"
#include "virtualloop.h"

#include <boost/asio/post.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// A stream whose other side is the test.
class FakeMessageStream : public RadishSwitch::MessageStream, public std::enable_shared_from_this<FakeMessageStream>
{
public:
    FakeMessageStream(VirtualLoop &loop, std::string address, std::string path, std::string firstFrame)
        : address(std::move(address))
        , path(std::move(path))
        , firstFrame(std::move(firstFrame))
        , m_loop(loop)
    {
    }

    void start(MessageCallback onMessage, ClosedCallback onClosed) override
    {
        m_onMessage = std::move(onMessage);
        m_onClosed = std::move(onClosed);
        for (auto &event : std::exchange(m_early, {})) {
            post(std::move(event));
        }
    }

    void send(std::string frame) override
    {
        sent.push_back(std::move(frame));
    }

    std::size_t queuedBytes() const override
    {
        return 0;
    }

    void whenDrained(std::size_t, std::function<void()> callback) override
    {
        boost::asio::post(m_loop.io, std::move(callback));
    }

    void pause() override
    {
        ++pauses;
    }

    void resume() override
    {
        ++resumes;
    }

    void finish() override
    {
        isFinished = true;
    }

    void cancel() override
    {
        isCancelled = true;
    }

    /// A frame from the other side.
    template<typename Message>
    void deliver(const Message &message)
    {
        deliverFrame(message.SerializeAsString());
    }

    void deliverFrame(std::string frame)
    {
        post([this, frame = std::move(frame)] {
            m_onMessage(frame);
        });
    }

    void close(const absl::Status &status)
    {
        post([this, status] {
            m_onClosed(status);
        });
    }

    const std::string address;
    const std::string path;
    const std::string firstFrame;
    std::vector<std::string> sent;
    int pauses = 0;
    int resumes = 0;
    bool isFinished = false;
    bool isCancelled = false;

private:
    void post(std::function<void()> event)
    {
        if (!m_onMessage) {
            m_early.push_back(std::move(event));
            return;
        }
        boost::asio::post(m_loop.io, [self = shared_from_this(), event = std::move(event)] {
            event();
        });
    }

    VirtualLoop &m_loop;
    MessageCallback m_onMessage;
    ClosedCallback m_onClosed;
    std::vector<std::function<void()>> m_early;
};

/// Clients whose streams are answered by the test, one handler an address. An address without a handler can't be
/// connected to.
class FakeMessageClients : public RadishSwitch::MessageClientSource
{
public:
    using StreamPointer = std::shared_ptr<FakeMessageStream>;
    using Handler = std::function<void(const StreamPointer &)>;

    explicit FakeMessageClients(VirtualLoop &loop)
        : m_loop(loop)
    {
    }

    std::shared_ptr<RadishSwitch::MessageClient> client(const std::string &address) override
    {
        return std::make_shared<Client>(*this, address);
    }

    void handle(const std::string &address, Handler handler)
    {
        m_handlers[address] = std::move(handler);
    }

    /// Every stream that was opened, in order.
    std::vector<StreamPointer> opened;

private:
    class Client : public RadishSwitch::MessageClient
    {
    public:
        Client(FakeMessageClients &clients, std::string address)
            : m_clients(clients)
            , m_address(std::move(address))
        {
        }

        RadishSwitch::MessageStreamPointer open(const std::string &path, std::string firstFrame) override
        {
            return m_clients.openStream(m_address, path, std::move(firstFrame));
        }

        const std::string &address() const override
        {
            return m_address;
        }

        void close() override
        {
        }

    private:
        FakeMessageClients &m_clients;
        const std::string m_address;
    };

    StreamPointer openStream(const std::string &address, const std::string &path, std::string firstFrame)
    {
        auto stream = std::make_shared<FakeMessageStream>(m_loop, address, path, std::move(firstFrame));
        opened.push_back(stream);
        const auto it = m_handlers.find(address);
        if (it != m_handlers.end()) {
            it->second(stream);
        } else {
            stream->close(RadishSwitch::makeFailure(RadishSwitch::FailureCode::ConnectionLost, "nobody is there"));
        }
        return stream;
    }

    VirtualLoop &m_loop;
    std::map<std::string, Handler> m_handlers;
};
