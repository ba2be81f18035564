#include "messagestreamfixture.h"

using namespace RadishSwitch;

namespace
{

/// What the receiving side's window lets through unread.
constexpr std::size_t kWindowBytes = 1024 * 1024;

}

class MessageFlowTest : public MessageStreamFixture
{
};

TEST_F(MessageFlowTest, receiver_paused_holdsSenderBackUntilResumed)
{
    constexpr std::size_t kFrames = 64;
    constexpr std::size_t kFrameBytes = 128 * 1024;
    const MessageStreamPointer stream = client->open("/keep", "first");
    const auto recorder = StreamRecorder::listenTo(*stream);
    const MessageStreamPointer receiver = takeKept();
    receiver->pause();
    const auto received = StreamRecorder::listenTo(*receiver);
    for (std::size_t n = 0; n < kFrames; ++n) {
        stream->send(std::string(kFrameBytes, 'x'));
    }
    std::promise<void> drained;
    stream->whenDrained(kFrames * kFrameBytes / 2, [&] {
        drained.set_value();
    });
    std::future<void> drainedFuture = drained.get_future();

    // The echo of another stream comes back after this one's window has been used up.
    const auto other = StreamRecorder::listenTo(*client->open("/echo", "other"));
    ASSERT_EQ(other->waitForFrames(1).size(), 1u);
    EXPECT_GE(stream->queuedBytes(), kFrames * kFrameBytes - kWindowBytes);
    EXPECT_EQ(drainedFuture.wait_for(std::chrono::seconds(0)), std::future_status::timeout);
    EXPECT_EQ(received->frameCount(), 0u);

    receiver->resume();

    EXPECT_EQ(drainedFuture.wait_for(StreamRecorder::kPatience), std::future_status::ready);
    EXPECT_EQ(received->waitForFrames(kFrames + 1).size(), kFrames + 1);
}

TEST_F(MessageFlowTest, manyReceivers_paused_otherStreamsGoOn)
{
    // Slow callers hold back their answers: each keeps a stream's whole window unread. Together they hold more than
    // the window of the connection. The answers of all other callers on that connection must still come.
    constexpr int kPaused = 12;
    std::vector<std::shared_ptr<StreamRecorder>> recorders;
    std::vector<MessageStreamPointer> paused;
    for (int n = 0; n < kPaused; ++n) {
        const MessageStreamPointer stream = client->open("/echo", std::string(kWindowBytes / 2, 'x'));
        stream->pause();
        stream->send(std::string(kWindowBytes, 'x'));
        recorders.push_back(StreamRecorder::listenTo(*stream));
        paused.push_back(stream);
    }

    const MessageStreamPointer stream = client->open("/echo", "");
    const auto recorder = StreamRecorder::listenTo(*stream);
    stream->send(std::string(4 * kWindowBytes, 'y'));
    EXPECT_EQ(recorder->waitForFrames(2).size(), 2u);

    for (int n = 0; n < kPaused; ++n) {
        EXPECT_EQ(recorders[n]->frameCount(), 0u);
        paused[n]->resume();
        EXPECT_EQ(recorders[n]->waitForFrames(2).size(), 2u);
    }
}

TEST_F(MessageFlowTest, frame_ofMaximumSize_comesThrough)
{
    const std::string frame(MessageStream::kMaximumFrameBytes, 'x');
    const auto recorder = StreamRecorder::listenTo(*client->open("/echo", frame));

    expectFrames(*recorder, std::vector<std::string>{frame});
}

TEST_F(MessageFlowTest, frame_aboveMaximumSize_closesAsTooLarge)
{
    const MessageStreamPointer stream = client->open("/keep", "first");
    const auto recorder = StreamRecorder::listenTo(*stream);
    const auto received = StreamRecorder::listenTo(*takeKept());

    stream->send(std::string(MessageStream::kMaximumFrameBytes + 1, 'x'));

    EXPECT_EQ(closingCode(*recorder), FailureCode::MessageTooLarge);
    EXPECT_EQ(closingCode(*received), FailureCode::MessageTooLarge);
}

TEST_F(MessageFlowTest, stream_finishedWhilePaused_handsOverFramesBeforeClosing)
{
    const MessageStreamPointer stream = client->open("/keep", "first");
    const auto recorder = StreamRecorder::listenTo(*stream);
    const MessageStreamPointer sender = takeKept();
    const auto received = StreamRecorder::listenTo(*sender);
    stream->pause();
    sender->send("answer");
    sender->finish();
    const auto other = StreamRecorder::listenTo(*client->open("/echo", "other"));
    ASSERT_EQ(other->waitForFrames(1).size(), 1u);
    EXPECT_EQ(recorder->frameCount(), 0u);

    stream->resume();

    EXPECT_EQ(closingStatus(*recorder), absl::OkStatus());
    expectFrames(*recorder, std::vector<std::string>{"answer"});
    EXPECT_EQ(closingStatus(*received), absl::OkStatus());
}

TEST_F(MessageFlowTest, whenDrained_streamLost_callsBack)
{
    const MessageStreamPointer stream = client->open("/keep", "first");
    const MessageStreamPointer receiver = takeKept();
    for (int n = 0; n < 8; ++n) {
        stream->send(std::string(kWindowBytes, 'x'));
    }
    std::promise<void> drained;
    stream->whenDrained(0, [&] {
        drained.set_value();
    });

    receiver->cancel();

    EXPECT_EQ(drained.get_future().wait_for(StreamRecorder::kPatience), std::future_status::ready);
    EXPECT_EQ(stream->queuedBytes(), 0u);
}

TEST_F(MessageFlowTest, manyStreams_cancelled_connectionStaysOpen)
{
    // Callers hang up all the time, and each has a stream that is cancelled. An HTTP/2 server may take many resets for
    // an attack and end the connection, cutting off the answers of those who did not hang up.
    constexpr int kCancelled = 5000;
    const MessageStreamPointer staying = client->open("/echo", "first");
    const auto recorder = StreamRecorder::listenTo(*staying);
    for (int n = 0; n < kCancelled; ++n) {
        const MessageStreamPointer stream = client->open("/echo", "frame");
        const auto cancelled = StreamRecorder::listenTo(*stream);
        ASSERT_EQ(cancelled->waitForFrames(1).size(), 1u);
        stream->cancel();
    }

    staying->send("second");

    EXPECT_EQ(recorder->waitForFrames(2).size(), 2u);
}

TEST_F(MessageFlowTest, streams_letGoByTheirHolders_endInOrder)
{
    // The server's handler lets its stream go without finishing it. The caller must not wait for its end for ever.
    const auto recorder = StreamRecorder::listenTo(*client->open("/keep", "first"));

    takeKept();

    EXPECT_EQ(closingStatus(*recorder), absl::OkStatus());
}
