#include "messagestreamfixture.h"

using namespace RadishSwitch;

class MessageStreamTest : public MessageStreamFixture
{
};

TEST_F(MessageStreamTest, echo_framesSent_comeBackInOrderAndCloseInOrder)
{
    const MessageStreamPointer stream = client->open("/echo", "first");
    const auto recorder = StreamRecorder::listenTo(*stream);
    stream->send("");
    stream->send(std::string(100'000, 'x'));
    stream->finish();

    EXPECT_EQ(closingStatus(*recorder), absl::OkStatus());
    expectFrames(*recorder, std::vector<std::string>{"first", "", std::string(100'000, 'x')});
}

TEST_F(MessageStreamTest, manyStreams_inParallel_eachGetsItsOwnFrames)
{
    constexpr int kStreams = 2000;
    std::vector<std::shared_ptr<StreamRecorder>> recorders;
    for (int n = 0; n < kStreams; ++n) {
        const MessageStreamPointer stream = client->open("/echo", "first of " + std::to_string(n));
        recorders.push_back(StreamRecorder::listenTo(*stream));
        stream->send("second of " + std::to_string(n));
        stream->finish();
    }

    for (int n = 0; n < kStreams; ++n) {
        EXPECT_EQ(closingStatus(*recorders[n]), absl::OkStatus());
        const std::vector<std::string> expected{"first of " + std::to_string(n), "second of " + std::to_string(n)};
        expectFrames(*recorders[n], expected);
    }
}

TEST_F(MessageStreamTest, open_unknownPath_closesAsMalformedAndNotRun)
{
    const auto recorder = StreamRecorder::listenTo(*client->open("/nowhere", "frame"));

    EXPECT_EQ(closingCode(*recorder), FailureCode::MalformedMessage);
    EXPECT_EQ(closingOutcome(*recorder), RunOutcome::NotRun);
}

TEST_F(MessageStreamTest, open_otherFleetKey_closesAsUnauthenticatedAndNothingIsHandedOver)
{
    TransportSettings otherSettings = settings();
    otherSettings.fleetKey = "another key";
    MessageClients strangers(workers, otherSettings);
    const auto recorder = StreamRecorder::listenTo(*strangers.client(client->address())->open("/keep", "frame"));

    EXPECT_EQ(closingCode(*recorder), FailureCode::Unauthenticated);
    EXPECT_EQ(kept.get_future().wait_for(std::chrono::seconds(0)), std::future_status::timeout);
}

TEST_F(MessageStreamTest, server_closedMidStream_closesStreamAsLostWithUnknownOutcome)
{
    // The caller sees its stream end with ConnectionLost: the server took the first frame and went away before it
    // answered. It may have acted on the frame, so the outcome is marked as unknown.
    const auto recorder = StreamRecorder::listenTo(*client->open("/keep", "frame"));
    const auto received = StreamRecorder::listenTo(*takeKept());
    ASSERT_EQ(received->waitForFrames(1).size(), 1u);

    server.close();

    EXPECT_EQ(closingCode(*recorder), FailureCode::ConnectionLost);
    EXPECT_EQ(closingOutcome(*recorder), RunOutcome::Unknown);
    EXPECT_EQ(closingCode(*received), FailureCode::ConnectionLost);
}

TEST_F(MessageStreamTest, cancel_openStream_closesBothSides)
{
    const MessageStreamPointer stream = client->open("/keep", "frame");
    const auto recorder = StreamRecorder::listenTo(*stream);
    const auto received = StreamRecorder::listenTo(*takeKept());
    ASSERT_EQ(received->waitForFrames(1).size(), 1u);

    stream->cancel();

    EXPECT_EQ(closingCode(*recorder), FailureCode::ConnectionLost);
    EXPECT_EQ(closingCode(*received), FailureCode::ConnectionLost);
}
