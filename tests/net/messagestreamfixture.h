#pragma once

#include "failure.h"
#include "http2transport.h"
#include "streamrecorder.h"

#include <gtest/gtest.h>

#include <future>

/// A server and a client of one process, over a real connection on loopback.
class MessageStreamFixture : public testing::Test
{
protected:
    using MessageStreamPointer = RadishSwitch::MessageStreamPointer;

    static RadishSwitch::TransportSettings settings()
    {
        RadishSwitch::TransportSettings settings;
        settings.fleetKey = "the key of the fleet";
        return settings;
    }

    /// Sends each frame back and finishes when the other side has.
    static void echo(const MessageStreamPointer &stream)
    {
        stream->start(
            [stream](std::string frame) {
                stream->send(std::move(frame));
            },
            [stream](const absl::Status &) {
                stream->finish();
            });
    }

    void SetUp() override
    {
        server.handle("/echo", echo);
        server.handle("/keep", [this](MessageStreamPointer stream) {
            kept.set_value(std::move(stream));
        });
        ASSERT_TRUE(server.listen("127.0.0.1", 0).ok());
        workers.start();
        client = clients.client(addressOf(server.port()));
    }

    void TearDown() override
    {
        workers.stop();
    }

    static std::string addressOf(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    /// The server's side of the one stream that a test opens on "/keep".
    MessageStreamPointer takeKept()
    {
        return takeStream(kept);
    }

    static MessageStreamPointer takeStream(std::promise<MessageStreamPointer> &promise)
    {
        std::future<MessageStreamPointer> future = promise.get_future();
        if (future.wait_for(StreamRecorder::kPatience) != std::future_status::ready) {
            ADD_FAILURE() << "no stream has come";
            return nullptr;
        }
        return future.get();
    }

    static RadishSwitch::FailureCode closingCode(StreamRecorder &recorder)
    {
        const std::optional<absl::Status> status = recorder.waitForClosed();
        EXPECT_TRUE(status.has_value()) << "the stream has not closed";
        return RadishSwitch::failureCode(status.value_or(absl::OkStatus()));
    }

    RadishSwitch::WorkerPool workers{3};
    RadishSwitch::Http2MessageServer server{workers, settings()};
    RadishSwitch::MessageClients clients{workers, settings()};
    std::shared_ptr<RadishSwitch::MessageClient> client;
    std::promise<MessageStreamPointer> kept;
};
