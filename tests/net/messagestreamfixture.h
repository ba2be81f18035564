#pragma once

#include "base/failure.h"
#include "http2transport.h"
#include "streamrecorder.h"

#include <gtest/gtest.h>

#include <future>

#include <unistd.h>

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

    /// Expects these frames first. Frames may be large, so a failure doesn't print them.
    static void expectFrames(StreamRecorder &recorder, const std::vector<std::string> &expected)
    {
        const std::vector<std::string> frames = recorder.waitForFrames(expected.size());
        ASSERT_EQ(frames.size(), expected.size());
        for (std::size_t n = 0; n < frames.size(); ++n) {
            EXPECT_EQ(frames[n].size(), expected[n].size()) << "frame " << n;
            EXPECT_TRUE(frames[n] == expected[n]) << "frame " << n;
        }
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

    /// How the stream closed; a failure without a code when it hasn't.
    static absl::Status closingStatus(StreamRecorder &recorder)
    {
        const std::optional<absl::Status> status = recorder.waitForClosed();
        EXPECT_TRUE(status.has_value()) << "the stream has not closed";
        return status.value_or(absl::UnknownError("still open"));
    }

    static RadishSwitch::FailureCode closingCode(StreamRecorder &recorder)
    {
        return RadishSwitch::failureCode(closingStatus(recorder));
    }

    static RadishSwitch::RunOutcome closingOutcome(StreamRecorder &recorder)
    {
        return RadishSwitch::outcomeOf(closingStatus(recorder));
    }

    RadishSwitch::WorkerPool workers{3};
    RadishSwitch::Http2MessageServer server{workers, settings()};
    RadishSwitch::MessageClients clients{workers, settings()};
    std::shared_ptr<RadishSwitch::MessageClient> client;
    std::promise<MessageStreamPointer> kept;
};
